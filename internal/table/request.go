package table

import "time"

// RequestState is the stage of a request in its router.
type RequestState uint8

// States of requests, in the usual order.
const (
	// RequestAdmitted passed the rules and waits for deduplication.
	RequestAdmitted RequestState = iota
	// RequestClaiming waits for an at-most-once claim or a key lookup.
	RequestClaiming
	// RequestReserving waits for budget.
	RequestReserving
	// RequestQueued waits for an endpoint.
	RequestQueued
	// RequestRunning has an attempt at an endpoint.
	RequestRunning
	// RequestBackoff waits until NotBefore for its next attempt.
	RequestBackoff
	// RequestEnded has an outcome; the reply is given in the same tick.
	RequestEnded
	requestStates
)

// Class separates short work from work that would hold it up.
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

// Ran says whether work was run. Its values are those of the caller API.
type Ran uint8

// Values of Ran.
const (
	// NotRun means that nothing was run and nothing will be run later.
	NotRun Ran = iota + 1
	// DidRun means that the work was run, at least in part.
	DidRun
	// RanUnknown means that it cannot be known.
	RanUnknown
)

// Code is the machine-readable reason of a refusal.
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
	CodeQuarantined       Code = "QUARANTINED"
	CodeNoEndpoint        Code = "NO_ENDPOINT"
	CodeBusy              Code = "BUSY"
	CodeDraining          Code = "DRAINING"
	CodeNotReady          Code = "NOT_READY"
	CodeFenced            Code = "FENCED"
	CodeExpired           Code = "EXPIRED"
	CodeEndpointFailed    Code = "ENDPOINT_FAILED"
	CodeClaimUnavailable  Code = "CLAIM_UNAVAILABLE"
	CodeKeyInUse          Code = "KEY_IN_USE"
	CodeKeyMismatch       Code = "KEY_MISMATCH"
	CodeKeyLost           Code = "KEY_LOST"
	CodePromptTooLong     Code = "PROMPT_TOO_LONG"
	CodeCancelled         Code = "CANCELLED"
	CodeUnknownRoute      Code = "UNKNOWN_ROUTE"
	CodeTimeout           Code = "TIMEOUT"
)

// Outcome is how a request ended.
type Outcome struct {
	OK         bool
	Code       Code
	Reason     string
	Ran        Ran
	RetryAfter time.Duration
	// Prompt and Output are the true token counts over all attempts.
	Prompt  Tokens
	Output  Tokens
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
	// CallerKey is true when the caller chose the key itself.
	CallerKey bool
	// Retry is true when the caller says it sent the request before.
	Retry       bool
	Fingerprint Fingerprint
	Class       Class
	Priority    int
	// Position is how many tokens of the answer the caller already has.
	Position Tokens
	// PromptTokens is an upper estimate of the prompt until the engine counts it.
	PromptTokens Tokens
	MaxOutput    Tokens
	Arrived      Instant
	// Deadline is when the first token must arrive, or Never.
	Deadline Instant

	// state is changed by RequestTable.Move only.
	state RequestState
	// Reserved is held from the budget until the end.
	Reserved Tokens
	// Reserve is the amount the budget system is asked to hold.
	Reserve Tokens
	// Grant is the holder of the ledger grant that pays for the request, and
	// GrantExpires its deadline when the reservation was made.
	Grant        Holder
	GrantExpires Instant
	// Slice is the slice that the reservation was made from; zero for the
	// router's own grant.
	Slice SliceKey
	// ReserveSince is when the request began to wait for budget, or zero.
	ReserveSince Instant

	// Attempt numbers the current attempt. It starts at a random number, so that
	// no late message of an earlier request with this key matches.
	Attempt uint32
	// Attempts counts the attempts made.
	Attempts   int
	Endpoint   EndpointID
	Agent      Holder
	Dispatched Instant
	// Session is the session that the current attempt was sent on.
	Session uint64
	// FirstToken is zero until the first token of any attempt.
	FirstToken Instant
	NotBefore  Instant
	// Delivered counts output tokens passed to the caller, over all attempts.
	Delivered Tokens
	// PromptRun counts prompt tokens once the first attempt started to run.
	PromptRun Tokens
	// Pinned restricts the request to one agent, for keys bound to it.
	Pinned Holder
	// ReplayOnly asks the pinned agent for a kept answer and never for a run.
	ReplayOnly bool
	// Alone asks for an endpoint without other work, for crash suspects.
	Alone bool
	// Nonce names this call: agents and claims tell it from other calls with
	// the same key.
	Nonce uint64
	// KeyUntil is the claim's deadline in the pinned agent's clock, or 0.
	KeyUntil Instant
	// ClaimVersion is the version of the claim that this call holds, or 0. The
	// reply waits until the claim is settled.
	ClaimVersion uint64
	// Tried are endpoints that failed this request.
	Tried []EndpointID
	// Disconnected is when the caller went away, or zero.
	Disconnected Instant
	// Cancelled is true once the current attempt was ordered to stop.
	Cancelled bool
	// Ran is what the ended attempts are known to have done; 0 if they all were
	// certainly not run.
	Ran Ran
	// Rejections counts attempts that a busy agent refused, in a row.
	Rejections int
	// Work is what routing accounted to the endpoint of the current attempt.
	Work Work

	Outcome Outcome
	// queued numbers the request's last entry into the queue.
	queued uint64
}

// Work is the load of one attempt at its endpoint. It is empty when nothing is
// accounted.
type Work struct {
	Attempt  uint32
	Endpoint EndpointID
	Agent    Holder
	Class    Class
	Tokens   Tokens
	// MarkAt and MarkTokens are the last progress seen, for the token time.
	MarkAt     Instant
	MarkTokens Tokens
	// Probe is true if the attempt tests an ejected endpoint.
	Probe bool
}

// State returns the stage of the request.
func (r *Request) State() RequestState { return r.state }

// RanHere reports whether an attempt of this router may have run.
func (r *Request) RanHere() bool { return r.Ran != 0 || r.produced() }

func (r *Request) produced() bool {
	return r.Delivered > 0 || r.PromptRun > 0 || r.FirstToken != 0
}

// RanSoFar says what is certain about the attempts made. A key that is bound to
// an agent may have been run for another router.
func (r *Request) RanSoFar() Ran {
	switch {
	case r.Ran == DidRun, r.produced():
		return DidRun
	case r.Ran == RanUnknown, r.Retry, r.Pinned != Holder{}, r.state == RequestRunning, r.state == RequestClaiming:
		return RanUnknown
	}
	return NotRun
}

// Failure returns the outcome of a request that ends without a whole answer.
// What was produced is billed.
func (r *Request) Failure(code Code, reason string) Outcome {
	o := Outcome{Code: code, Reason: reason, Ran: r.RanSoFar(), Output: r.Delivered}
	if o.Ran == DidRun {
		o.Prompt = r.BilledPrompt()
	}
	return o
}

// BilledPrompt returns the prompt tokens of work that ran: the engine's count,
// or the estimate when the count was lost with its session.
func (r *Request) BilledPrompt() Tokens {
	if r.PromptRun == 0 && r.Kind == ServiceModel {
		return r.PromptTokens
	}
	return r.PromptRun
}

// RequestTable is the table of requests with a work list per state, the queue of
// each service and class, and the count of each customer's requests.
type RequestTable struct {
	Table[RequestID, Request]
	byState    [requestStates]Set[RequestID]
	byCustomer map[CustomerID]int
	queueIndex

	// Detached are requests whose caller went away and may come back.
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
	t.entered(row)
	return row
}

// OfCustomer returns the number of a customer's requests in progress.
func (t *RequestTable) OfCustomer(c CustomerID) int { return t.byCustomer[c] }

// Move puts a request into another state, at the end of that state's list.
func (t *RequestTable) Move(r *Request, s RequestState) {
	t.byState[r.state].Remove(r.ID)
	t.left(r)
	r.state = s
	t.byState[s].Add(r.ID)
	t.entered(r)
}

// End records the outcome and moves the request to RequestEnded.
func (t *RequestTable) End(r *Request, o Outcome) {
	r.Outcome = o
	t.Move(r, RequestEnded)
}

// Remove deletes a request.
func (t *RequestTable) Remove(id RequestID) {
	r := t.Get(id)
	if r == nil {
		return
	}
	t.byState[r.state].Remove(id)
	t.left(r)
	t.Detached.Remove(id)
	t.byCustomer[r.Customer]--
	if t.byCustomer[r.Customer] == 0 {
		delete(t.byCustomer, r.Customer)
	}
	t.Delete(id)
}

// In returns the requests in a state, oldest in that state first, as a copy.
func (t *RequestTable) In(s RequestState) []RequestID { return t.byState[s].Keys() }

// Count returns the number of requests in a state.
func (t *RequestTable) Count(s RequestState) int { return t.byState[s].Len() }
