package dedup

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// indexReplicas is the number of index routers that store each key, so that one
	// may fail.
	indexReplicas = 2
	// reservationLifetime is how long the index reserves a key for a router that has
	// not dispatched it. It limits the wait when the router's release is lost.
	reservationLifetime = 30 * time.Second
)

// indexRoutersFor returns the index routers of a key: the ones with the highest
// rendezvous hashes among the connected live routers, including this one.
func indexRoutersFor(w *world.World, id table.RequestID) []table.ProcessID {
	var best [indexReplicas]table.ProcessID
	var hashes [indexReplicas]uint64
	add := func(p table.ProcessID) {
		hash := rendezvousHash(p, id)
		for i := range best {
			if best[i] == "" || hash > hashes[i] {
				best[i], p = p, best[i]
				hashes[i], hash = hash, hashes[i]
			}
		}
	}
	add(w.Self().Process)
	w.Processes.Each(func(p table.ProcessID, row *table.Process) {
		if row.Role == table.RoleRouter && row.State == table.ProcessLive && row.Connected && p != w.Self().Process {
			add(p)
		}
	})
	return slices.DeleteFunc(best[:], func(p table.ProcessID) bool { return p == "" })
}

func rendezvousHash(p table.ProcessID, id table.RequestID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(p))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// serveIndex stores the key records and answers the key queries of other routers, and
// deletes expired entries.
func serveIndex(w *world.World) {
	for _, e := range w.In.KeyRecords {
		storeKeyRecord(w, e)
	}
	for _, q := range w.In.KeyQueries {
		result := answerKeyQuery(w, q)
		w.Out.KeyResults = append(w.Out.KeyResults, command.SendKeyResult{To: q.From, Result: result})
	}
	for id, due := w.KeyIndexTimers.PopDue(w.Now); due; id, due = w.KeyIndexTimers.PopDue(w.Now) {
		entry := w.KeyIndex.Get(id)
		switch {
		case entry == nil:
		case entry.ExpiresAt > w.Now:
			w.KeyIndexTimers.Schedule(id, entry.ExpiresAt)
		default:
			w.KeyIndex.Delete(id)
		}
	}
}

// storeKeyRecord stores which agent runs a key. A record without an agent removes the
// entry of the same call.
func storeKeyRecord(w *world.World, e event.KeyRecord) {
	if e.Agent == (table.Holder{}) {
		if old := w.KeyIndex.Get(e.Request); old != nil && old.Owner == e.From && old.Nonce == e.Nonce {
			w.KeyIndex.Delete(e.Request)
		}
		return
	}
	putEntry(w, e.Request, table.KeyIndexEntry{Agent: e.Agent, Owner: e.From, Nonce: e.Nonce, ExpiresAt: w.Now.Add(w.Params.AnswerRetention)})
}

func putEntry(w *world.World, id table.RequestID, entry table.KeyIndexEntry) {
	w.KeyIndex.Put(id, entry)
	w.KeyIndexTimers.Schedule(id, entry.ExpiresAt)
}

// answerKeyQuery returns what the index stores about a key. The first router that
// queries an unknown key owns it until it dispatches the key, releases it or fails.
func answerKeyQuery(w *world.World, q event.KeyQuery) event.KeyResult {
	result := event.KeyResult{From: w.Self(), Call: q.Call, Request: q.Request}
	entry := w.KeyIndex.Get(q.Request)
	if entry == nil || entry.ExpiresAt <= w.Now {
		putEntry(w, q.Request, table.KeyIndexEntry{Owner: q.From, Nonce: q.Nonce, ExpiresAt: w.Now.Add(reservationLifetime)})
		return result
	}
	if entry.Owner != q.From && isLive(w, entry.Owner) {
		result.Owner = entry.Owner
	}
	if entry.Agent != (table.Holder{}) {
		result.Found, result.Agent = true, entry.Agent
	} else if result.Owner == (table.Holder{}) {
		putEntry(w, q.Request, table.KeyIndexEntry{Owner: q.From, Nonce: q.Nonce, ExpiresAt: w.Now.Add(reservationLifetime)})
	}
	return result
}

func isLive(w *world.World, h table.Holder) bool {
	if h == w.Self() {
		return true
	}
	p := w.Processes.Get(h.Process)
	return p != nil && p.Incarnation == h.Incarnation && p.State == table.ProcessLive
}

// queryIndex starts the search for the key of an idempotent request.
func queryIndex(w *world.World, r *table.Request) {
	s := startSearch(w, r)
	s.Step = table.SearchIndexRouters
	w.LastKeyCall++
	s.Call = w.LastKeyCall
	q := event.KeyQuery{From: w.Self(), Call: s.Call, Request: r.ID, Nonce: r.Nonce}
	var local *event.KeyResult
	for _, p := range indexRoutersFor(w, r.ID) {
		if p == w.Self().Process {
			result := answerKeyQuery(w, q)
			local = &result
			continue
		}
		s.Unanswered = append(s.Unanswered, p)
		w.Out.KeyQueries = append(w.Out.KeyQueries, command.SendKeyQuery{To: p, Query: q})
	}
	setStepDeadline(w, r.ID, s, indexTimeout)
	if local != nil {
		handleIndexResult(w, r, s, local)
		return
	}
	if len(s.Unanswered) == 0 {
		handleKeyNotIndexed(w, r, s)
	}
}

func applyKeyResults(w *world.World) {
	for i := range w.In.KeyResults {
		e := &w.In.KeyResults[i]
		s, r := activeSearch(w, e.Request)
		if s == nil || s.Step != table.SearchIndexRouters || s.Call != e.Call || !slices.Contains(s.Unanswered, e.From.Process) {
			continue
		}
		markAnswered(s, e.From.Process)
		handleIndexResult(w, r, s, e)
	}
}

// handleIndexResult handles the answer of one index router. If it names an agent, the
// search continues there without waiting for the other index routers.
func handleIndexResult(w *world.World, r *table.Request, s *table.KeySearch, e *event.KeyResult) {
	if e.Owner != (table.Holder{}) {
		s.OwnerRouter = e.Owner
	}
	if e.Found {
		queryAgent(w, r, s, e.Agent)
		return
	}
	if len(s.Unanswered) == 0 {
		handleKeyNotIndexed(w, r, s)
	}
}

// handleKeyNotIndexed continues a search when no index router named an agent.
func handleKeyNotIndexed(w *world.World, r *table.Request, s *table.KeySearch) {
	switch {
	case s.OwnerRouter != (table.Holder{}):
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "another router has a request with this key in progress")
	case r.CallerRetry:
		queryAllAgents(w, r, s)
	default:
		proceed(w, r, "the key is new")
	}
}
