package ledger

import (
	"math"
	"slices"
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// topUpsKept is how many top-up ids a budget remembers.
	topUpsKept = 32
	// topUpTimeout bounds the wait of an operator for the platform.
	topUpTimeout = 10 * time.Second
)

func onTopUp(w *world.World, e event.TopUp) {
	if reason := topUpFault(e); reason != "" {
		refuseTopUp(w, e.Reply, reason)
		return
	}
	s := Shard(w, ShardOf(w, e.Budget))
	s.TopUps = append(s.TopUps, table.TopUp{
		Reply: e.Reply, Budget: e.Budget, Amount: e.Amount, ID: e.ID, Since: w.Now,
	})
	Touch(w, s.ID, w.Now)
}

func topUpFault(e event.TopUp) string {
	customer, name, _ := strings.Cut(string(e.Budget), "/")
	switch {
	case customer == "" || name == "":
		return "the budget is not of the form customer/name"
	case e.Amount <= 0:
		return "the amount is not positive"
	case e.ID == "":
		return "the top-up id is missing"
	}
	return ""
}

func refuseTopUp(w *world.World, reply uint64, reason string) {
	w.Out.TopUpReplies = append(w.Out.TopUpReplies, command.TopUpReply{Reply: reply, Reason: reason})
}

// addTopUps adds the waiting top-ups to content and returns those it answers
// after the write.
func addTopUps(w *world.World, s *table.Shard, content *table.ShardContent) []table.TopUp {
	var added []table.TopUp
	for _, t := range s.TopUps {
		row := content.Insert(t.Budget)
		if !slices.Contains(row.TopUps, t.ID) {
			if row.Deposited > math.MaxInt64-t.Amount {
				refuseTopUp(w, t.Reply, "the deposit would exceed the largest amount")
				continue
			}
			row.Deposited += t.Amount
			row.TopUps = appendTopUp(row.TopUps, t.ID)
		}
		added = append(added, t)
	}
	s.TopUps = nil
	return added
}

func appendTopUp(ids []string, id string) []string {
	kept := ids[max(0, len(ids)+1-topUpsKept):]
	return append(slices.Clone(kept), id)
}

func answerTopUps(w *world.World, s *table.Shard, topUps []table.TopUp) {
	for _, t := range topUps {
		row := s.Content.Find(t.Budget)
		w.Out.TopUpReplies = append(w.Out.TopUpReplies, command.TopUpReply{
			Reply: t.Reply, OK: true, Deposited: row.Deposited, Settled: row.Settled,
		})
	}
}

// expireTopUps answers the top-ups that waited too long. One that is part of an
// open write may still take effect; its id makes a repeat safe.
func expireTopUps(w *world.World, s *table.Shard) {
	s.TopUps = expire(w, s, s.TopUps, command.TopUpReply{Reason: "the platform was not reached in time; nothing was added"})
	if s.Pending != nil {
		s.Pending.TopUps = expire(w, s, s.Pending.TopUps,
			command.TopUpReply{Unknown: true, Reason: "the outcome is not known; repeat the top-up with the same id"})
	}
}

func expire(w *world.World, s *table.Shard, topUps []table.TopUp, reply command.TopUpReply) []table.TopUp {
	var kept []table.TopUp
	for _, t := range topUps {
		due := t.Since.Add(topUpTimeout)
		if due > w.Now {
			Touch(w, s.ID, due)
			kept = append(kept, t)
			continue
		}
		reply.Reply = t.Reply
		w.Out.TopUpReplies = append(w.Out.TopUpReplies, reply)
	}
	return kept
}
