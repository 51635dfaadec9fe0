package ledger

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// maxQueryReads limits the open reads of one query.
	maxQueryReads = 32
	// maxContentAge is the maximum age of known content that may answer a query.
	maxContentAge = 10 * time.Second
	// queryTimeout limits the wait for the platform. After it, the query is answered from the
	// shards that are known.
	queryTimeout = 5 * time.Second
)

// query is an operator's query for budgets. It reads all shards, because any shard may hold
// budgets of any customer.
type query struct {
	event.BudgetQuery
	startedAt table.Instant
	nextShard table.ShardID
	openReads table.Set[table.ShardID]
	budgets   []command.BudgetInfo
}

func newQuery(w *world.World, e event.BudgetQuery) query {
	return query{BudgetQuery: e, startedAt: w.Now}
}

func (l *system) continueQueries(w *world.World) {
	var open []query
	for _, q := range l.queries {
		if complete := q.readNextShards(w); complete || w.Now >= q.startedAt.Add(queryTimeout) {
			q.reply(w, complete)
			continue
		}
		w.WakeAt(q.startedAt.Add(queryTimeout))
		open = append(open, q)
	}
	l.queries = open
}

// readNextShards starts the next reads and reports whether all shards have been read.
func (q *query) readNextShards(w *world.World) bool {
	for _, id := range q.openReads.Keys() {
		if s := Shard(w, id); !s.ReadRequested {
			q.openReads.Remove(id)
			q.collect(w, s)
		}
	}
	for q.openReads.Len() < maxQueryReads && uint32(q.nextShard) < w.Params.LedgerShards {
		s := Shard(w, q.nextShard)
		q.nextShard++
		if s.ContentKnown && s.ReadAt.Add(maxContentAge) >= q.startedAt {
			q.collect(w, s)
			continue
		}
		s.ReadRequested = true
		ScheduleShard(w, s.ID, w.Now)
		q.openReads.Add(s.ID)
	}
	return q.openReads.Len() == 0
}

// collect adds the customer's budgets in a shard to the reply.
func (q *query) collect(w *world.World, s *table.Shard) {
	for _, row := range s.Content.Budgets {
		if q.Customer == "" || row.ID.Customer() == q.Customer {
			q.budgets = append(q.budgets, budgetInfo(w, row))
		}
	}
	// Content that recovery has not inspected yet is kept; recovery evicts it afterwards.
	if !w.ChangedShards.Has(s.ID) {
		EvictContent(w, s)
	}
}

func (q *query) reply(w *world.World, complete bool) {
	for _, id := range q.openReads.Keys() {
		q.collect(w, Shard(w, id))
	}
	w.Out.BudgetReplies = append(w.Out.BudgetReplies, command.BudgetReply{ReplyID: q.ReplyID, Budgets: q.budgets, Incomplete: !complete})
}

func budgetInfo(w *world.World, row table.LedgerBudget) command.BudgetInfo {
	out := command.BudgetInfo{Ledger: row, Local: table.Budget{ID: row.ID}}
	if b := w.Budgets.Get(row.ID); b != nil {
		out.Local = *b
	}
	return out
}

// EvictContent drops shard content that this router does not currently need, to bound memory
// use. The version is kept, so that older content is never accepted later.
func EvictContent(w *world.World, s *table.Shard) {
	if s.PendingWrite != nil || len(s.TopUps) > 0 || len(s.Reclaims) > 0 || s.ReadRequested || s.WriteImmediately {
		return
	}
	if !w.Params.ReduceLedgerLoad && s.DirtyBudgets.Len()+s.GrantedBudgets.Len() > 0 {
		return
	}
	for _, id := range s.DirtyBudgets.Keys() {
		if b := w.Budgets.Get(id); b != nil && (b.Short || b.BelowTarget) {
			return
		}
	}
	s.ContentKnown = false
	s.Content = table.ShardContent{}
}
