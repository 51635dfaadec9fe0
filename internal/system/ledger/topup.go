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
	// maxTopUpIDs is the number of recent top-up ids that a budget keeps for deduplication.
	maxTopUpIDs = 32
	// topUpTimeout limits how long an operator waits for the platform.
	topUpTimeout = 10 * time.Second
)

func onTopUp(w *world.World, e event.TopUp) {
	if reason := validateTopUp(e); reason != "" {
		refuseTopUp(w, e.ReplyID, reason)
		return
	}
	s := Shard(w, ShardOf(w, e.Budget))
	s.TopUps = append(s.TopUps, table.TopUp{
		ReplyID: e.ReplyID, Budget: e.Budget, Amount: e.Amount, ID: e.ID, ReceivedAt: w.Now,
	})
	ScheduleShard(w, s.ID, w.Now)
}

func validateTopUp(e event.TopUp) string {
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

func refuseTopUp(w *world.World, replyID uint64, reason string) {
	w.Out.TopUpReplies = append(w.Out.TopUpReplies, command.TopUpReply{ReplyID: replyID, Reason: reason})
}

// applyTopUps applies the waiting top-ups to content, and returns those to reply to after
// the write.
func applyTopUps(w *world.World, s *table.Shard, content *table.ShardContent) []table.TopUp {
	var applied []table.TopUp
	for _, t := range s.TopUps {
		row := content.FindOrInsert(t.Budget)
		if !slices.Contains(row.TopUps, t.ID) {
			if row.Deposited > math.MaxInt64-t.Amount {
				refuseTopUp(w, t.ReplyID, "the deposit would exceed the largest amount")
				continue
			}
			row.Deposited += t.Amount
			row.TopUps = appendTopUp(row.TopUps, t.ID)
		}
		applied = append(applied, t)
	}
	s.TopUps = nil
	return applied
}

func appendTopUp(ids []string, id string) []string {
	kept := ids[max(0, len(ids)+1-maxTopUpIDs):]
	return append(slices.Clone(kept), id)
}

func replyTopUps(w *world.World, s *table.Shard, topUps []table.TopUp) {
	for _, t := range topUps {
		row := s.Content.Find(t.Budget)
		w.Out.TopUpReplies = append(w.Out.TopUpReplies, command.TopUpReply{
			ReplyID: t.ReplyID, OK: true, Deposited: row.Deposited, Settled: row.Settled,
		})
	}
}

// expireTopUps replies to the top-ups that timed out. A top-up in the pending write may still
// take effect; its id makes it safe to repeat.
func expireTopUps(w *world.World, s *table.Shard) {
	s.TopUps = expireWaiting(w, s, s.TopUps, command.TopUpReply{Reason: "the platform was not reached in time; nothing was added"})
	if s.PendingWrite != nil {
		s.PendingWrite.TopUps = expireWaiting(w, s, s.PendingWrite.TopUps,
			command.TopUpReply{OutcomeUnknown: true, Reason: "the outcome is not known; repeat the top-up with the same id"})
	}
}

// expireWaiting replies to the top-ups that timed out and returns the others.
func expireWaiting(w *world.World, s *table.Shard, topUps []table.TopUp, reply command.TopUpReply) []table.TopUp {
	var remaining []table.TopUp
	for _, t := range topUps {
		deadline := t.ReceivedAt.Add(topUpTimeout)
		if deadline > w.Now {
			ScheduleShard(w, s.ID, deadline)
			remaining = append(remaining, t)
			continue
		}
		reply.ReplyID = t.ReplyID
		w.Out.TopUpReplies = append(w.Out.TopUpReplies, reply)
	}
	return remaining
}
