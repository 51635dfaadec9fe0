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
	// indexRouters keep each key, so that one may fail.
	indexRouters = 2
	// pendingFor is how long the index reserves a key for a router that has not
	// dispatched it. It bounds the wait after a router's release was lost.
	pendingFor = 30 * time.Second
)

// indexOf returns the index routers of a key: the first by rendezvous hashing
// over the live routers, this one included.
func indexOf(w *world.World, id table.RequestID) []table.ProcessID {
	var best [indexRouters]table.ProcessID
	var scores [indexRouters]uint64
	add := func(p table.ProcessID) {
		s := score(p, id)
		for i := range best {
			if best[i] == "" || s > scores[i] {
				best[i], p = p, best[i]
				scores[i], s = s, scores[i]
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

func score(p table.ProcessID, id table.RequestID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(p))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// serveIndex answers and stores what other routers ask and tell.
func serveIndex(w *world.World) {
	for _, e := range w.In.KeyRecords {
		store(w, e)
	}
	for _, q := range w.In.KeyQueries {
		result := query(w, q)
		w.Out.KeyResults = append(w.Out.KeyResults, command.SendKeyResult{To: q.From, Result: result})
	}
	for id, due := w.KeyExpiry.Pop(w.Now); due; id, due = w.KeyExpiry.Pop(w.Now) {
		entry := w.KeyIndex.Get(id)
		switch {
		case entry == nil:
		case entry.Until > w.Now:
			w.KeyExpiry.Set(id, entry.Until)
		default:
			w.KeyIndex.Delete(id)
		}
	}
}

func store(w *world.World, e event.KeyRecord) {
	if e.Agent == (table.Holder{}) {
		if old := w.KeyIndex.Get(e.Request); old != nil && old.Owner == e.From && old.Nonce == e.Nonce {
			w.KeyIndex.Delete(e.Request)
		}
		return
	}
	putEntry(w, e.Request, table.KeyEntry{Agent: e.Agent, Owner: e.From, Nonce: e.Nonce, Until: w.Now.Add(w.Params.AnswerRetention)})
}

func putEntry(w *world.World, id table.RequestID, entry table.KeyEntry) {
	w.KeyIndex.Put(id, entry)
	w.KeyExpiry.Set(id, entry.Until)
}

// query answers about a key. The first router that asks for an unknown key owns
// it until it dispatches the key, gives it up or dies.
func query(w *world.World, q event.KeyQuery) event.KeyResult {
	result := event.KeyResult{From: w.Self(), Call: q.Call, Request: q.Request}
	entry := w.KeyIndex.Get(q.Request)
	if entry == nil || entry.Until <= w.Now {
		putEntry(w, q.Request, table.KeyEntry{Owner: q.From, Nonce: q.Nonce, Until: w.Now.Add(pendingFor)})
		return result
	}
	if entry.Owner != q.From && isLive(w, entry.Owner) {
		result.Owner = entry.Owner
	}
	if entry.Agent != (table.Holder{}) {
		result.Found, result.Agent = true, entry.Agent
	} else if result.Owner == (table.Holder{}) {
		putEntry(w, q.Request, table.KeyEntry{Owner: q.From, Nonce: q.Nonce, Until: w.Now.Add(pendingFor)})
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

// askIndex starts the search for a key that may repeat.
func askIndex(w *world.World, r *table.Request) {
	s := open(w, r)
	s.Step = table.SearchIndex
	w.KeyCalls++
	s.Call = w.KeyCalls
	q := event.KeyQuery{From: w.Self(), Call: s.Call, Request: r.ID, Nonce: r.Nonce}
	var own *event.KeyResult
	for _, p := range indexOf(w, r.ID) {
		if p == w.Self().Process {
			result := query(w, q)
			own = &result
			continue
		}
		s.Waiting = append(s.Waiting, p)
		w.Out.KeyQueries = append(w.Out.KeyQueries, command.SendKeyQuery{To: p, Query: q})
	}
	wait(w, r.ID, s, indexTimeout)
	if own != nil {
		indexAnswer(w, r, s, own)
		return
	}
	if len(s.Waiting) == 0 {
		afterIndex(w, r, s)
	}
}

func applyKeyResults(w *world.World) {
	for i := range w.In.KeyResults {
		e := &w.In.KeyResults[i]
		s, r := openSearch(w, e.Request)
		if s == nil || s.Step != table.SearchIndex || s.Call != e.Call || !slices.Contains(s.Waiting, e.From.Process) {
			continue
		}
		answered(s, e.From.Process)
		indexAnswer(w, r, s, e)
	}
}

// indexAnswer takes one index router's answer. An agent decides at once.
func indexAnswer(w *world.World, r *table.Request, s *table.Search, e *event.KeyResult) {
	if e.Owner != (table.Holder{}) {
		s.Owner = e.Owner
	}
	if e.Found {
		askAgent(w, r, s, e.Agent)
		return
	}
	if len(s.Waiting) == 0 {
		afterIndex(w, r, s)
	}
}

// afterIndex goes on when no index router named an agent.
func afterIndex(w *world.World, r *table.Request, s *table.Search) {
	switch {
	case s.Owner != (table.Holder{}):
		refuse(w, r, table.CodeKeyInUse, table.RanUnknown, "another router has a request with this key in progress")
	case r.Retry:
		askAll(w, r, s)
	default:
		proceed(w, r, "the key is new")
	}
}
