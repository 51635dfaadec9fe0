package table

// SliceKey identifies a slice, a part of a ledger grant that one router passed
// to another: by the other router and the number that the grantor gave the slice.
type SliceKey struct {
	Peer   Holder
	Number uint64
}

// SliceRequestKey identifies a request for a slice by its sender and call number.
type SliceRequestKey struct {
	Peer Holder
	Call uint64
}

// ReceivedSlice is a slice that this router received. It is kept until the
// grantor acknowledged the final report, so that a repeated report has the same
// figures.
type ReceivedSlice struct {
	Budget    BudgetID
	Amount    Tokens
	Reserved  Tokens
	Spent     Tokens
	ExpiresAt Instant
	// Closed is true once nothing new is reserved from the slice.
	Closed bool
	// FinalReports counts the final reports sent; NextReportAt is when the next
	// one is due.
	FinalReports int
	NextReportAt Instant
}

// Available returns the tokens that may still be reserved from the slice.
func (s *ReceivedSlice) Available() Tokens {
	if s.Closed {
		return 0
	}
	return s.Amount - s.Reserved - s.Spent
}

// GrantedSlice is a slice that this router granted from its own grant. All of
// it counts as used until the receiver reported.
type GrantedSlice struct {
	Budget    BudgetID
	Amount    Tokens
	ExpiresAt Instant
	// Reminders counts the reminders sent after the slice expired.
	Reminders int
}

// WaitingSliceRequest is a slice request that a home router answers when its
// own grant has grown, at the latest at AnswerBy.
type WaitingSliceRequest struct {
	Budget BudgetID
	// Want is the requested amount and Need the least that is of use.
	Want       Tokens
	Need       Tokens
	ReceivedAt Instant
	AnswerBy   Instant
}

// SliceStage says which routers are asked for a slice.
type SliceStage uint8

// Stages of asking for slices.
const (
	// SliceFromHome asks the home router before the ledger is asked for a grant.
	SliceFromHome SliceStage = iota + 1
	// SliceFromHolders asks the other holders after the ledger could not grant
	// enough.
	SliceFromHolders
)

// SliceRequestRound is the last round of requests for slices of a budget.
type SliceRequestRound struct {
	Call       uint64
	Stage      SliceStage
	CallSentAt Instant
	// Unanswered are the routers that were asked and have not answered yet.
	Unanswered []ProcessID
	// Answered are the holders whose answer to this call was counted.
	Answered []Holder
	// SomeUnreached is true if a holder could not be asked or did not answer.
	SomeUnreached bool
	// Released is the sum that holders said they return to the ledger.
	Released Tokens
	// Done is true once all routers have answered or the round timed out.
	Done bool
}
