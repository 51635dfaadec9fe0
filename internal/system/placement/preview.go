package placement

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/system/eligibility"
	"laburnumroad.dev/laburnumroad/internal/system/load"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Plan is what placement would do with a request.
type Plan struct {
	Verdict    command.WhereVerdict
	Candidates []command.WhereCandidate
	// Outcome is that of a refusal, at once or after Wait if nothing changes.
	Outcome table.Outcome
	// Wait is the longest time that the request waits.
	Wait time.Duration
}

// Preview returns what placement would do with a request now. It changes the request and
// what limits endpoints in w, which must be a preview.
func Preview(w *world.World, x *table.Exchange) Plan {
	p := Plan{Verdict: command.WhereSent}
	usable, _ := eligibleEndpoints(w, x)
	seen := 0
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		switch {
		case seen < len(usable) && usable[seen] == e:
			// They are in the order of the table.
			seen++
		case e.Service == x.Service:
			p.Candidates = append(p.Candidates, excluded(w, x, e))
		}
	})
	if len(usable) > 0 {
		p.Candidates = append(previewChoice(w, x, usable), p.Candidates...)
		if left := timeLeft(w, x); left < minTimeLeft {
			p.Verdict, p.Wait = command.WhereWaits, left
		}
		return p
	}
	p.Verdict, p.Wait = command.WhereWaits, waitEndOf(x).Sub(w.Now)
	if waitOrRefuse(w, x); x.State == table.ExchangeEnded {
		p.Verdict, p.Wait = command.WhereRefused, 0
	} else {
		now := w.Now
		w.Now = waitEndOf(x)
		waitOrRefuse(w, x)
		w.Now = now
	}
	p.Outcome = w.Out.FinishExchanges[len(w.Out.FinishExchanges)-1].Outcome
	return p
}

// previewChoice returns the endpoints that may get the request, the chosen one marked.
func previewChoice(w *world.World, x *table.Exchange, usable []*table.DirectEndpoint) []command.WhereCandidate {
	scored, height := scoreEndpoints(w, x, usable)
	shares := pickShares(scored, height)
	next, _ := nextInTurn(w, scored, shares)
	candidates := make([]command.WhereCandidate, 0, len(scored))
	for i := range scored {
		s := &scored[i]
		c := describe(s.endpoint, &s.load)
		c.Cost, c.Place, c.Share, c.Chosen = s.cost(height), s.place.String(), shares[i], i == next
		candidates = append(candidates, c)
	}
	return candidates
}

func excluded(w *world.World, x *table.Exchange, e *table.DirectEndpoint) command.WhereCandidate {
	estimate := load.Of(w, e)
	c := describe(e, &estimate)
	if verdict := eligibility.Check(w, x, e); !verdict.Allowed() {
		c.Excluded, c.ExclusionEnds, c.ExcludedFor = string(verdict.Reason), verdict.HasEnd, verdict.RetryIn
		return c
	}
	// eligibleEndpoints leaves it out while others remain.
	c.Excluded, c.ExclusionEnds, c.ExcludedFor = "suspect", true, e.SuspectUntil.Sub(w.Now)
	return c
}

func describe(e *table.DirectEndpoint, l *load.Estimate) command.WhereCandidate {
	return command.WhereCandidate{
		Endpoint: e.ID, Domain: e.Domain, Running: l.Running, Waiting: l.Waiting, Own: e.InFlight, Slots: e.Slots,
		Reported: l.Reported, ReportAge: l.Age,
	}
}
