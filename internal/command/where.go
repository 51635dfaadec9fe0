package command

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// WhereProblem is why a WhereQuery has no answer.
type WhereProblem string

// Problems of a WhereQuery. WhereAnswered is the zero value.
const (
	WhereAnswered     WhereProblem = ""
	WhereInvalid      WhereProblem = "invalid"
	WhereUnknown      WhereProblem = "unknown"
	WhereShuttingDown WhereProblem = "shutting down"
)

// WhereVerdict is what would happen to a request at once.
type WhereVerdict string

// Verdicts.
const (
	WhereSent    WhereVerdict = "sent"
	WhereWaits   WhereVerdict = "waits"
	WhereRefused WhereVerdict = "refused"
)

// WhereReply answers a WhereQuery.
type WhereReply struct {
	ReplyID uint64
	Self    table.ProcessID
	// Problem and ProblemReason say why there is no answer.
	Problem       WhereProblem
	ProblemReason string

	Route    string
	Kind     table.RouteKind
	Customer table.CustomerID
	Priority int
	// Service is the one that the rest of the answer is about, chosen at random among
	// Services.
	Service  table.ServiceName
	Services []WhereService
	Budget   WhereBudget
	// Candidates are the endpoints of the service, empty if the request is refused before
	// its service is known.
	Candidates []WhereCandidate

	Verdict WhereVerdict
	// System is the one that refuses the request or lets it wait, or that sends it.
	System string
	// Outcome is that of a request that is refused, at once or after Wait if nothing changes.
	Outcome table.Outcome
	// Wait is the longest time that the request waits, WaitFor what it waits for.
	Wait    time.Duration
	WaitFor string
}

// WhereService is a service of the route and its share of the requests.
type WhereService struct {
	Service table.ServiceName
	Share   float64
}

// WhereBudget is what this router knows of the customer's budget.
type WhereBudget struct {
	// Limited is false if the request is not paid from a budget.
	Limited bool
	Cost    table.Tokens
	// Available may be spent by this router at once, RemainingAtMost is an upper bound of
	// what the fleet has left, if the ledger is known.
	Available       table.Tokens
	RemainingAtMost table.Tokens
	LedgerKnown     bool
	LedgerAge       time.Duration
	// Verdict is what the budget's side would do.
	Verdict WhereVerdict
	Outcome table.Outcome
	Wait    time.Duration
}

// WhereCandidate is an endpoint of the service.
type WhereCandidate struct {
	Endpoint table.EndpointID
	Domain   string
	// Excluded is why the endpoint does not get the request, or empty. It ends after
	// ExcludedFor, if ExclusionEnds.
	Excluded      string
	ExclusionEnds bool
	ExcludedFor   time.Duration

	// Cost, in milliseconds, is known of endpoints that are not excluded.
	Cost  float64
	Place string
	// Running and Waiting are estimates, Own this router's requests there.
	Running float64
	Waiting float64
	Own     int
	Slots   int
	// Reported is false if no usable load report is known.
	Reported  bool
	ReportAge time.Duration
	// Share is the endpoint's share of requests like this one, 0 if others cost less.
	Share  float64
	Chosen bool
}
