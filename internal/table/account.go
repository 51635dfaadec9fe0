package table

// Account is this router's part of one customer's prepaid total. Invariant:
// Spent + Reserved <= Limit + TransferredIn - TransferredOut.
type Account struct {
	Customer CustomerID
	// Limit is the most that this router may spend in all, as far as the limit
	// ledger is known to record it. It is lowered as soon as a write that lowers
	// it is sent, before the answer arrives.
	Limit Tokens
	// RecordedLimit is the limit in this router's entry of the ledger.
	RecordedLimit Tokens
	// ClosedLimit is the part of Limit that the ledger already counts as closed: a
	// later process of the same name closed this router's entry while it was still
	// running.
	ClosedLimit Tokens
	// Spent is the charge for ended requests, Reserved the reservations of open
	// ones.
	Spent    Tokens
	Reserved Tokens
	// TransferredIn and TransferredOut were moved between routers without a ledger
	// write.
	TransferredIn  Tokens
	TransferredOut Tokens
	// DemandRate is a moving average of the maximum cost of arriving requests, in
	// tokens per second.
	DemandRate DecayingRate
	// MeanReservation is a moving average of the size of reservations, in tokens.
	MeanReservation float64
	// SmallestShortfall is the least addition that lets a waiting request proceed,
	// which is ShortRequest; WaitingTokens is the sum of the reservations of all waiting
	// requests.
	SmallestShortfall Tokens
	ShortRequest      RequestID
	WaitingTokens     Tokens
	// TransferRequestedFrom was asked for a transfer at TransferRequestedAt, which is
	// 0 if no answer is awaited. TransferRequestedNeed is the least amount that was
	// asked for.
	TransferRequestedFrom Holder
	TransferRequestedAt   Instant
	TransferRequestedNeed Tokens
	// Denials are the routers that recently had less than was asked for.
	Denials []TransferDenial
	// ReturnedAt is when unused tokens were last transferred back to a holder.
	ReturnedAt Instant
}

// Available returns the tokens that may still be reserved.
func (a *Account) Available() Tokens {
	return a.Limit + a.TransferredIn - a.TransferredOut - a.Spent - a.Reserved
}

// NetSpent returns the spent and transferred-out tokens, less those transferred
// in and those that the ledger counts as closed. Transfers cancel out in the
// sum over all routers.
func (a *Account) NetSpent() Tokens {
	return a.Spent + a.TransferredOut - a.TransferredIn - a.ClosedLimit
}

// RequiredLimit returns the least limit that covers the spent, reserved and
// transferred-out tokens.
func (a *Account) RequiredLimit() Tokens {
	return a.Spent + a.Reserved + a.TransferredOut - a.TransferredIn
}
