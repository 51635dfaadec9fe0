package ledger

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// queryReads bounds the reads that one query has open.
	queryReads = 32
	// queryAge is the age up to which a known shard answers a query.
	queryAge = 10 * time.Second
	// queryTimeout bounds the wait for the platform; after it, the query is
	// answered from the shards that are known.
	queryTimeout = 5 * time.Second
)

// query is an operator's question for budgets. Any shard may hold a budget of
// any customer, so it covers all shards.
type query struct {
	event.BudgetQuery
	since table.Instant
	next  table.ShardID
	open  table.Set[table.ShardID]
	found []command.BudgetInfo
}

func newQuery(w *world.World, e event.BudgetQuery) query {
	return query{BudgetQuery: e, since: w.Now}
}

func (l *system) continueQueries(w *world.World) {
	var open []query
	for _, q := range l.queries {
		if whole := q.advance(w); whole || w.Now >= q.since.Add(queryTimeout) {
			q.answer(w, whole)
			continue
		}
		w.WakeAt(q.since.Add(queryTimeout))
		open = append(open, q)
	}
	l.queries = open
}

// advance asks for the next shards and reports whether all were read.
func (q *query) advance(w *world.World) bool {
	for _, id := range q.open.Keys() {
		if s := Shard(w, id); !s.Asked {
			q.open.Remove(id)
			q.collect(w, s)
		}
	}
	for q.open.Len() < queryReads && uint32(q.next) < w.Params.Shards {
		s := Shard(w, q.next)
		q.next++
		if s.Known && s.ReadAt.Add(queryAge) >= q.since {
			q.collect(w, s)
			continue
		}
		s.Asked = true
		Touch(w, s.ID, w.Now)
		q.open.Add(s.ID)
	}
	return q.open.Len() == 0
}

// collect takes the customer's budgets of a shard into the answer.
func (q *query) collect(w *world.World, s *table.Shard) {
	for _, row := range s.Content.Budgets {
		if q.Customer == "" || row.ID.Customer() == q.Customer {
			q.found = append(q.found, info(w, row))
		}
	}
	// Recovery has not looked at a changed content yet and forgets it then.
	if !w.ShardsSeen.Has(s.ID) {
		Forget(w, s)
	}
}

func (q *query) answer(w *world.World, whole bool) {
	for _, id := range q.open.Keys() {
		q.collect(w, Shard(w, id))
	}
	w.Out.BudgetReplies = append(w.Out.BudgetReplies, command.BudgetReply{Reply: q.Reply, Budgets: q.found, Incomplete: !whole})
}

func info(w *world.World, row table.LedgerBudget) command.BudgetInfo {
	out := command.BudgetInfo{Ledger: row, Local: table.Budget{ID: row.ID}}
	if b := w.Budgets.Get(row.ID); b != nil {
		out.Local = *b
	}
	return out
}

// Forget drops a content that this router has no use for now, to bound its
// memory. The version stays, so that an older content is never taken over later.
func Forget(w *world.World, s *table.Shard) {
	if s.Pending != nil || len(s.TopUps) > 0 || len(s.Reclaims) > 0 || s.Asked || s.Force {
		return
	}
	if !w.Params.ManyBudgets && s.Dirty.Len()+s.Held.Len() > 0 {
		return
	}
	for _, id := range s.Dirty.Keys() {
		if b := w.Budgets.Get(id); b != nil && (b.Short || b.Low) {
			return
		}
	}
	s.Known = false
	s.Content = table.ShardContent{}
}
