package quarantine

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

func isEmpty(r *event.PartReport) bool {
	return len(r.Crashes) == 0 && len(r.Cleared) == 0 && len(r.Quarantined) == 0 && len(r.Withdrawn) == 0 && r.StoredVersion == 0
}

// receivedReport is a report with its sender, which earlier releases do not name.
type receivedReport struct {
	from   table.Holder
	report *event.PartReport
}

// takeReports removes the reports about parts from the crashes of this tick.
func takeReports(w *world.World) []receivedReport {
	var reports []receivedReport
	w.In.Crashes = slices.DeleteFunc(w.In.Crashes, func(c event.Crash) bool {
		if c.Parts != nil {
			reports = append(reports, receivedReport{from: c.ID.Agent, report: c.Parts})
		}
		return c.Parts != nil
	})
	return reports
}

// observeParts returns what the attempts of this tick show about parts.
func observeParts(w *world.World) *event.PartReport {
	own := &event.PartReport{}
	for _, e := range w.In.DirectAnswersContinued {
		x := w.Exchanges.Get(e.Exchange)
		if x == nil || x.Attempt != e.Attempt {
			continue
		}
		x.AnswerContinued = true
		proveSound(w, x, own)
	}
	var crashed []*table.Exchange
	for i := range w.In.DirectAttemptEnds {
		e := &w.In.DirectAttemptEnds[i]
		x := w.Exchanges.Get(e.Exchange)
		if x == nil || x.Attempt != e.Attempt || x.State != table.ExchangeRunning || len(x.PromptParts) < 2 {
			continue
		}
		switch {
		case x.AnswerContinued:
		case e.EndpointGone:
			crashed = append(crashed, x)
		case isAnswered(e):
			proveSound(w, x, own)
		}
	}
	if len(crashed) == 0 {
		return own
	}
	answering := answeringParts(w)
	for _, x := range crashed {
		// An endpoint that leaves ends as planned.
		if row := w.DirectEndpoints.Get(x.Endpoint); row != nil && !row.Leaving {
			addCrash(w, own, x, answering)
		}
	}
	return own
}

// addCrash adds the prompt of an attempt, without the parts of requests that are being
// answered, to the crash of its endpoint.
func addCrash(w *world.World, r *event.PartReport, x *table.Exchange, answering map[table.Fingerprint]bool) {
	parts := slices.DeleteFunc(sharedParts(x.PromptParts), func(f table.Fingerprint) bool { return answering[f] })
	if len(parts) == 0 {
		return
	}
	i := slices.IndexFunc(r.Crashes, func(c event.EndpointCrash) bool { return c.Endpoint == x.Endpoint })
	if i < 0 {
		i = len(r.Crashes)
		r.Crashes = append(r.Crashes, event.EndpointCrash{Endpoint: x.Endpoint})
	}
	c, sinceSent := &r.Crashes[i], w.Now.Sub(x.AttemptSentAt)
	prompt := make([]int, 0, len(parts))
	for position, f := range parts {
		prompt = append(prompt, addPart(c, f, position, sinceSent, sinceSent))
	}
	isNew := !slices.ContainsFunc(c.Prompts, func(known []int) bool { return slices.Equal(known, prompt) })
	if isNew && len(c.Prompts) < maxCrashedPrompts {
		c.Prompts = append(c.Prompts, prompt)
	}
}

// addPart adds a part to a report of a crash, if it is not there, and returns its index.
func addPart(c *event.EndpointCrash, f table.Fingerprint, position int, sinceSent, sinceFirstSent time.Duration) int {
	i := slices.IndexFunc(c.Parts, func(p event.CrashedPart) bool { return p.Part == f })
	if i < 0 {
		i = len(c.Parts)
		c.Parts = append(c.Parts, event.CrashedPart{Part: f, Position: position, SinceSent: sinceSent, SinceFirstSent: sinceFirstSent})
	}
	c.Parts[i].SinceSent = min(c.Parts[i].SinceSent, sinceSent)
	c.Parts[i].SinceFirstSent = max(c.Parts[i].SinceFirstSent, sinceFirstSent)
	return i
}

const (
	// maxToldCrashes bounds the crashes that a router which connects is told of, and
	// toldByRank the routers that tell it.
	maxToldCrashes = 32
	toldByRank     = 2
)

// greetRouters sends the quarantines to the routers that connected in this tick, and the
// crashes that may still count: one that was restarted knows neither.
func greetRouters(w *world.World) {
	for _, to := range newlyConnected(w) {
		var crashes []event.EndpointCrash
		if partRank(w, partFingerprint(string(to.Process))) <= toldByRank {
			crashes = pastCrashes(w)
		}
		sendQuarantines(w, to, crashes, func(*table.PartQuarantine) bool { return true })
	}
}

// pastCrashes returns the last recorded crashes as reports, oldest first.
func pastCrashes(w *world.World) []event.EndpointCrash {
	recorded := crashesInOrder(w)
	var reports []event.EndpointCrash
	for _, c := range recorded[max(0, len(recorded)-maxToldCrashes):] {
		r := event.EndpointCrash{Endpoint: c.Endpoint, Age: w.Now.Sub(c.At)}
		for _, prompt := range c.Prompts {
			var indexes []int
			for _, f := range prompt {
				indexes = append(indexes, addPart(&r, f, 0, w.Now.Sub(c.Sent.Get(f).Last), w.Now.Sub(c.Sent.Get(f).First)))
			}
			r.Prompts = append(r.Prompts, indexes)
		}
		reports = append(reports, r)
	}
	return reports
}

// tellSender sends a router that reports a crash the quarantines that explain it: it was
// restarted or missed reports, or it sent the request before it knew. The first routers in
// rank do so.
func tellSender(w *world.World, r receivedReport) {
	if len(r.report.Crashes) == 0 || r.from == (table.Holder{}) || r.from == w.Self() {
		return
	}
	sendQuarantines(w, r.from, nil, func(q *table.PartQuarantine) bool {
		return q.BeganAt < w.Now && partRank(w, combinationKey(q.Parts)) <= 1 &&
			slices.ContainsFunc(r.report.Crashes, func(c event.EndpointCrash) bool { return namesAll(&c, q.Parts) })
	})
}

// namesAll reports whether a report of a crash names all given parts.
func namesAll(c *event.EndpointCrash, parts []table.Fingerprint) bool {
	return !slices.ContainsFunc(parts, func(f table.Fingerprint) bool {
		return !slices.ContainsFunc(c.Parts, func(p event.CrashedPart) bool { return p.Part == f })
	})
}

// sendQuarantines sends those quarantines to another router that it is to know, with crashes.
func sendQuarantines(w *world.World, to table.Holder, crashes []event.EndpointCrash, wanted func(*table.PartQuarantine) bool) {
	report := &event.PartReport{Crashes: crashes}
	w.PartQuarantines.Each(func(key table.Fingerprint, q *table.PartQuarantine) {
		if wanted(q) {
			report.Quarantined = append(report.Quarantined, newEntry(w, key, q))
		}
	})
	if !isEmpty(report) {
		c := event.Crash{ID: table.CrashID{Agent: w.Self()}, Parts: report}
		w.Out.Crashes = append(w.Out.Crashes, command.SendCrash{To: []table.Holder{to}, Crash: c})
	}
}
