package table

// SliceKey identifies a slice: the other router and the grantor's number.
type SliceKey struct {
	Peer  Holder
	Slice uint64
}

// SliceCall identifies a request for a slice by its sender and call number.
type SliceCall struct {
	Peer Holder
	Call uint64
}

// SliceIn is a slice that this router received. It is kept until the grantor
// acknowledged the final report, so that a repeated report stays true.
type SliceIn struct {
	Budget   BudgetID
	Amount   Tokens
	Reserved Tokens
	Spent    Tokens
	Expires  Instant
	// Closed is true once nothing new is reserved from the slice.
	Closed bool
	// Reports counts the final reports that were sent; NextReport is when the
	// next one is due.
	Reports    int
	NextReport Instant
}

// Left returns what may still be reserved from the slice.
func (s *SliceIn) Left() Tokens {
	if s.Closed {
		return 0
	}
	return s.Amount - s.Reserved - s.Spent
}

// SliceOut is a slice that this router cut from its own grant. All of it counts
// as used until the receiver reported.
type SliceOut struct {
	Budget  BudgetID
	Amount  Tokens
	Expires Instant
	// Reminders counts the reminders sent after the slice expired.
	Reminders int
}

// SliceWait is a request for a slice that a home router serves when its own
// grant has grown, at the latest at Until.
type SliceWait struct {
	Budget BudgetID
	Want   Tokens
	Need   Tokens
	Since  Instant
	Until  Instant
}

// SliceStage says whom a router asks for a slice.
type SliceStage uint8

// Stages of asking for slices.
const (
	// SliceHome asks the home router before the ledger.
	SliceHome SliceStage = iota + 1
	// SliceHolders asks the other holders after the ledger.
	SliceHolders
)

// SliceAsk is the last round in which this router asked for slices of a budget.
type SliceAsk struct {
	Call   uint64
	Stage  SliceStage
	SentAt Instant
	// Open are the routers that were asked and did not answer yet.
	Open []ProcessID
	// Answered are the holders whose answer to this call was taken.
	Answered []Holder
	// Unreached is true if a holder could not be asked or did not answer.
	Unreached bool
	// Released is what holders said they return to the ledger.
	Released Tokens
	Done     bool
}
