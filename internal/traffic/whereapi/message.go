package whereapi

import (
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/keyhash"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Path is where queries are posted.
const Path = "/where"

// Request describes a request that is not sent.
type Request struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// KeyHash is the hash of the customer's key, as package keyhash writes it. The key
	// itself is not sent.
	KeyHash      string `json:"key_hash,omitempty"`
	Customer     string `json:"customer,omitempty"`
	BodyBytes    int    `json:"body_bytes,omitempty"`
	PromptTokens int64  `json:"prompt_tokens"`
	MaxOutput    int64  `json:"max_output"`
	Parts        []Part `json:"parts,omitempty"`
}

// Part is a part of the prompt.
type Part struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Response is the answer to a Request. Times are in milliseconds.
type Response struct {
	Router     string      `json:"router"`
	Route      string      `json:"route"`
	Kind       string      `json:"kind"`
	Customer   string      `json:"customer,omitempty"`
	Priority   int         `json:"priority"`
	Service    string      `json:"service,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Decision   Decision    `json:"decision"`
	Budget     *Budget     `json:"budget,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Service is a service of the route with its share of the requests.
type Service struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
}

// Decision is what would happen at once.
type Decision struct {
	// Verdict is "sent", "waits" or "refused".
	Verdict  string `json:"verdict"`
	System   string `json:"system,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Code, Reason and RetryAfterMs are those of a refusal, or of the one after the wait if
	// nothing changes until then.
	Code         string  `json:"code,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs float64 `json:"retry_after_ms,omitempty"`
	// WaitMs is the longest time that the request waits, WaitFor what it waits for.
	WaitMs  float64 `json:"wait_ms,omitempty"`
	WaitFor string  `json:"wait_for,omitempty"`
}

// Budget is what the router knows of the customer's budget, in tokens.
type Budget struct {
	Cost            int64    `json:"cost"`
	Available       int64    `json:"available"`
	RemainingAtMost *int64   `json:"remaining_at_most,omitempty"`
	LedgerAgeMs     *float64 `json:"ledger_age_ms,omitempty"`
	Decision        Decision `json:"decision"`
}

// Candidate is an endpoint of the service.
type Candidate struct {
	Endpoint string `json:"endpoint"`
	Domain   string `json:"domain"`
	Chosen   bool   `json:"chosen"`
	// Excluded is why the endpoint does not get the request, for ExcludedForMs if that is
	// known.
	Excluded      string   `json:"excluded,omitempty"`
	ExcludedForMs *float64 `json:"excluded_for_ms,omitempty"`
	// Cost and Share are known of endpoints that are not excluded.
	Cost  *float64 `json:"cost_ms,omitempty"`
	Share *float64 `json:"share,omitempty"`
	Place string   `json:"place,omitempty"`
	// Running and Waiting are estimates; Own counts the requests of this router.
	Running float64 `json:"running"`
	Waiting float64 `json:"waiting"`
	Own     int     `json:"own"`
	Slots   int     `json:"slots"`
	// ReportAgeMs is absent if no usable load report is known.
	ReportAgeMs *float64 `json:"report_age_ms,omitempty"`
}

// ErrorResponse is the body of an answer with another status than 200.
type ErrorResponse struct {
	Error string `json:"error"`
}

func (r *Request) query() (event.WhereQuery, error) {
	q := event.WhereQuery{
		Host: r.Host, Path: r.Path, Customer: table.CustomerID(r.Customer), BodyBytes: r.BodyBytes,
		PromptTokens: table.Tokens(r.PromptTokens), MaxOutput: table.Tokens(r.MaxOutput),
	}
	if r.KeyHash != "" {
		hash, err := keyhash.Parse(r.KeyHash)
		if err != nil {
			return q, errors.Wrap(err, "key_hash")
		}
		q.HasKey, q.KeyHash = true, table.KeyHash(hash)
	}
	for _, p := range r.Parts {
		q.PromptParts = append(q.PromptParts, table.PromptPart{ID: p.ID, Tokens: table.Tokens(p.Tokens)})
	}
	return q, nil
}

func responseOf(r *command.WhereReply) *Response {
	resp := &Response{
		Router: string(r.Self), Route: r.Route, Kind: r.Kind.String(), Customer: string(r.Customer), Priority: r.Priority, Service: string(r.Service),
		Decision: decisionOf(r.Verdict, &r.Outcome, r.Wait),
	}
	resp.Decision.System, resp.Decision.WaitFor = r.System, r.WaitFor
	for _, s := range r.Services {
		resp.Services = append(resp.Services, Service{string(s.Service), s.Share})
	}
	if r.Budget.Limited {
		b := &Budget{Cost: int64(r.Budget.Cost), Available: int64(r.Budget.Available), Decision: decisionOf(r.Budget.Verdict, &r.Budget.Outcome, r.Budget.Wait)}
		if r.Budget.LedgerKnown {
			remaining := int64(r.Budget.RemainingAtMost)
			b.RemainingAtMost, b.LedgerAgeMs = &remaining, millisecondsIf(true, r.Budget.LedgerAge)
		}
		resp.Budget = b
	}
	for i := range r.Candidates {
		c := candidateOf(&r.Candidates[i])
		if c.Chosen && r.Verdict == command.WhereSent {
			resp.Decision.Endpoint = c.Endpoint
		}
		resp.Candidates = append(resp.Candidates, c)
	}
	return resp
}

func decisionOf(verdict command.WhereVerdict, o *table.Outcome, wait time.Duration) Decision {
	return Decision{
		Verdict: string(verdict), Code: string(o.Code), Reason: o.Reason, RetryAfterMs: milliseconds(o.RetryAfter), WaitMs: milliseconds(wait),
	}
}

func candidateOf(c *command.WhereCandidate) Candidate {
	m := Candidate{
		Endpoint: string(c.Endpoint), Domain: c.Domain, Chosen: c.Chosen, Excluded: c.Excluded, Place: c.Place,
		ExcludedForMs: millisecondsIf(c.Excluded != "" && c.ExclusionEnds, c.ExcludedFor),
		Running:       c.Running, Waiting: c.Waiting, Own: c.Own, Slots: c.Slots, ReportAgeMs: millisecondsIf(c.Reported, c.ReportAge),
	}
	if c.Excluded == "" {
		cost, share := c.Cost, c.Share
		m.Cost, m.Share = &cost, &share
	}
	return m
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// millisecondsIf returns a time if it is known, or nil.
func millisecondsIf(known bool, d time.Duration) *float64 {
	if !known {
		return nil
	}
	ms := milliseconds(d)
	return &ms
}
