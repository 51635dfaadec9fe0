package table

import "time"

// RequestState is the processing stage of a request at its router.
type RequestState uint8

// States of requests, in the usual order.
const (
	// RequestAdmitted passed admission and waits for deduplication.
	RequestAdmitted RequestState = iota
	// RequestClaiming waits for an at-most-once claim or a key lookup.
	RequestClaiming
	// RequestReserving waits for budget.
	RequestReserving
	// RequestQueued waits for an endpoint.
	RequestQueued
	// RequestRunning has an attempt at an endpoint.
	RequestRunning
	// RequestBackoff waits until NextAttemptAt for its next attempt.
	RequestBackoff
	// RequestEnded has an outcome; the reply is sent in the same tick.
	RequestEnded
	requestStateCount
)

// Class separates short requests from long ones that would delay them.
type Class uint8

// Classes of requests.
const (
	ClassQuick Class = iota
	ClassLong
)

// String returns the lower-case name of the class.
func (c Class) String() string {
	if c == ClassLong {
		return "long"
	}
	return "quick"
}

// Ran says whether a request ran. Its values are those of the caller API.
type Ran uint8

// Values of Ran.
const (
	// NotRun means that nothing has run and nothing will run later.
	NotRun Ran = iota + 1
	// DidRun means that the request ran, at least in part.
	DidRun
	// RanUnknown means that neither can be proved.
	RanUnknown
)

// Code is the machine-readable reason of a refusal or failure.
type Code string

// Codes of refusals.
const (
	CodeUnauthenticated   Code = "UNAUTHENTICATED"
	CodeForbidden         Code = "FORBIDDEN"
	CodeBadRequest        Code = "BAD_REQUEST"
	CodeUnknownService    Code = "UNKNOWN_SERVICE"
	CodeRateLimited       Code = "RATE_LIMITED"
	CodeConcurrency       Code = "CONCURRENCY"
	CodeDeadline          Code = "DEADLINE"
	CodeBudgetExhausted   Code = "BUDGET_EXHAUSTED"
	CodeBudgetUnreachable Code = "BUDGET_UNREACHABLE"
	// CodeLinkCongested refuses a request because packets wait for the router's link.
	CodeLinkCongested Code = "LINK_CONGESTED"
	// CodeBudgetReserved refuses a request because the rest of the budget is kept for
	// more urgent ones.
	CodeBudgetReserved   Code = "BUDGET_RESERVED"
	CodeQuarantined      Code = "QUARANTINED"
	CodeNoEndpoint       Code = "NO_ENDPOINT"
	CodeBusy             Code = "BUSY"
	CodeDraining         Code = "DRAINING"
	CodeNotReady         Code = "NOT_READY"
	CodeFenced           Code = "FENCED"
	CodeExpired          Code = "EXPIRED"
	CodeEndpointFailed   Code = "ENDPOINT_FAILED"
	CodeClaimUnavailable Code = "CLAIM_UNAVAILABLE"
	CodeKeyInUse         Code = "KEY_IN_USE"
	CodeKeyMismatch      Code = "KEY_MISMATCH"
	CodeKeyLost          Code = "KEY_LOST"
	CodePromptTooLong    Code = "PROMPT_TOO_LONG"
	CodeCancelled        Code = "CANCELLED"
	CodeUnknownRoute     Code = "UNKNOWN_ROUTE"
	CodeTimeout          Code = "TIMEOUT"
)

// Outcome is the result of a request.
type Outcome struct {
	OK     bool
	Code   Code
	Reason string
	Ran    Ran
	// RetryAfter is the delay suggested to the caller; 0 for none.
	RetryAfter time.Duration
	// PromptTokens and OutputTokens are the actual counts over all attempts.
	PromptTokens Tokens
	OutputTokens Tokens
	// Charged is billed to the budget.
	Charged Tokens
	// Replayed is true when the answer was kept from an earlier run.
	Replayed bool
}

// Request is a caller's request in progress at this router.
type Request struct {
	ID        RequestID
	Customer  CustomerID
	Budget    BudgetID
	Service   ServiceName
	Kind      ServiceKind
	Operation string
	// Idempotent is false for calls that must run at most once.
	Idempotent bool
	// CallerKey is true when the caller chose the idempotency key itself.
	CallerKey bool
	// CallerRetry is true when the caller says that it sent the request before.
	CallerRetry bool
	Fingerprint Fingerprint
	Class       Class
	Priority    int
	// ResumePosition is how many tokens of the answer the caller already has.
	ResumePosition Tokens
	// PromptTokens is an upper estimate of the prompt until the engine counts it.
	PromptTokens Tokens
	MaxOutput    Tokens
	ArrivedAt    Instant
	// FirstTokenDeadline is when the first token must arrive, or Never.
	FirstTokenDeadline Instant

	// state is changed by RequestTable.SetState only.
	state RequestState
	// Reserved is the amount reserved from the budget until the request ends.
	Reserved Tokens
	// WantedReservation is the amount that the budget system is asked to reserve.
	WantedReservation Tokens
	// GrantHolder is the holder of the ledger grant that pays for the request, and
	// GrantExpiresAt the grant's expiry when the reservation was made.
	GrantHolder    Holder
	GrantExpiresAt Instant
	// Slice is the slice that the reservation was made from; zero for the router's
	// own grant.
	Slice SliceKey
	// BudgetWaitSince is when the request began to wait for budget, or zero.
	BudgetWaitSince Instant

	// Attempt numbers the current attempt. It starts at a random number, so that
	// no late message of an earlier request with this key matches.
	Attempt uint32
	// Attempts counts the attempts made.
	Attempts     int
	Endpoint     EndpointID
	Agent        Holder
	DispatchedAt Instant
	// Session is the session that the current attempt was sent on.
	Session uint64
	// FirstTokenAt is zero until the first token of any attempt.
	FirstTokenAt Instant
	// NextAttemptAt is the end of the wait in RequestBackoff.
	NextAttemptAt Instant
	// DeliveredTokens counts output tokens passed to the caller, over all
	// attempts.
	DeliveredTokens Tokens
	// RanPromptTokens is the engine's count of prompt tokens, known once an
	// attempt started to run.
	RanPromptTokens Tokens
	// PinnedAgent restricts the request to one agent, for keys bound to it.
	PinnedAgent Holder
	// ReplayOnly asks the pinned agent for a kept answer and never for a run.
	ReplayOnly bool
	// MustRunAlone is true for crash suspects, which need an endpoint without other
	// work.
	MustRunAlone bool
	// Nonce identifies this call: agents and claims distinguish it from other
	// calls with the same key.
	Nonce uint64
	// KeyDeadline is the expiry of an issued key or the deadline of the key's claim,
	// in the pinned agent's clock; 0 if there is none.
	KeyDeadline Instant
	// ClaimVersion is the version of the claim that this call holds, or 0. The
	// reply waits until the claim is settled.
	ClaimVersion uint64
	// TriedEndpoints are the endpoints that failed this request.
	TriedEndpoints []EndpointID
	// DisconnectedAt is when the caller disconnected, or zero.
	DisconnectedAt Instant
	// AttemptCancelled is true once the cancellation of the current attempt was
	// sent.
	AttemptCancelled bool
	// Ran says whether the ended attempts ran, as far as that is known; 0 if none
	// of them ran.
	Ran Ran
	// BusyRejections counts the attempts in a row that a busy agent rejected.
	BusyRejections int
	// Load is what routing accounted to the endpoint of the current attempt.
	Load AttemptLoad

	Outcome Outcome
	// queueSequence numbers the request's last entry into the queue.
	queueSequence uint64
}

// AttemptLoad is the load of one attempt at its endpoint. It is empty when
// nothing is accounted.
type AttemptLoad struct {
	Attempt  uint32
	Endpoint EndpointID
	Agent    Holder
	Class    Class
	// Tokens is the expected work.
	Tokens Tokens
	// ProgressAt and ProgressTokens are the time and the delivered tokens of the
	// last progress report, for the time per token.
	ProgressAt     Instant
	ProgressTokens Tokens
	// Probe is true if the attempt tests an ejected endpoint.
	Probe bool
}

// State returns the processing stage of the request.
func (r *Request) State() RequestState { return r.state }

// MayHaveRunHere reports whether an attempt of this router may have run.
func (r *Request) MayHaveRunHere() bool { return r.Ran != 0 || r.hasOutput() }

// hasOutput reports whether an attempt is known to have run because it produced
// tokens.
func (r *Request) hasOutput() bool {
	return r.DeliveredTokens > 0 || r.RanPromptTokens > 0 || r.FirstTokenAt != 0
}

// RanSoFar says whether the request is known to have run in any attempt. A key
// that is bound to an agent may have run for another router.
func (r *Request) RanSoFar() Ran {
	switch {
	case r.Ran == DidRun, r.hasOutput():
		return DidRun
	case r.Ran == RanUnknown, r.CallerRetry, r.PinnedAgent != Holder{}, r.state == RequestRunning, r.state == RequestClaiming:
		return RanUnknown
	}
	return NotRun
}

// FailureOutcome returns the outcome of a request that ends without a whole
// answer. Delivered output is billed.
func (r *Request) FailureOutcome(code Code, reason string) Outcome {
	o := Outcome{Code: code, Reason: reason, Ran: r.RanSoFar(), OutputTokens: r.DeliveredTokens}
	if o.Ran == DidRun {
		o.PromptTokens = r.BilledPrompt()
	}
	return o
}

// BilledPrompt returns the prompt tokens of work that ran: the engine's count,
// or the estimate when the count was lost with its session.
func (r *Request) BilledPrompt() Tokens {
	if r.RanPromptTokens == 0 && r.Kind == ServiceModel {
		return r.PromptTokens
	}
	return r.RanPromptTokens
}

// RequestTable is the table of requests with a work list per state, a queue per
// service and class, and a count of each customer's requests.
type RequestTable struct {
	Table[RequestID, Request]
	byState    [requestStateCount]Set[RequestID]
	byCustomer map[CustomerID]int
	queueIndex

	// Detached are requests whose caller disconnected and may reconnect.
	Detached Set[RequestID]
}

// Insert adds a request in the given state.
func (t *RequestTable) Insert(r Request, s RequestState) *Request {
	r.state = s
	row := t.Put(r.ID, r)
	t.byState[s].Add(r.ID)
	if t.byCustomer == nil {
		t.byCustomer = make(map[CustomerID]int)
	}
	t.byCustomer[r.Customer]++
	t.enqueue(row)
	return row
}

// CustomerCount returns the number of a customer's requests in progress.
func (t *RequestTable) CustomerCount(c CustomerID) int { return t.byCustomer[c] }

// SetState moves a request to another state, at the end of that state's list.
func (t *RequestTable) SetState(r *Request, s RequestState) {
	t.byState[r.state].Remove(r.ID)
	t.dequeue(r)
	r.state = s
	t.byState[s].Add(r.ID)
	t.enqueue(r)
}

// End records the outcome and moves the request to RequestEnded.
func (t *RequestTable) End(r *Request, o Outcome) {
	r.Outcome = o
	t.SetState(r, RequestEnded)
}

// Remove deletes a request.
func (t *RequestTable) Remove(id RequestID) {
	r := t.Get(id)
	if r == nil {
		return
	}
	t.byState[r.state].Remove(id)
	t.dequeue(r)
	t.Detached.Remove(id)
	t.byCustomer[r.Customer]--
	if t.byCustomer[r.Customer] == 0 {
		delete(t.byCustomer, r.Customer)
	}
	t.Delete(id)
}

// InState returns a copy of the list of requests in a state, in the order in
// which they entered it.
func (t *RequestTable) InState(s RequestState) []RequestID { return t.byState[s].Keys() }

// CountInState returns the number of requests in a state.
func (t *RequestTable) CountInState(s RequestState) int { return t.byState[s].Len() }
