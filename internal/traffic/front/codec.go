package front

import (
	"net/http"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Request holds the fields that the gateway reads from the headers of a client's
// request.
type Request struct {
	// ID is the client's request id, empty if the client sent none.
	ID string
	// HasKey reports whether the client sent an API key.
	HasKey  bool
	KeyHash table.KeyHash
	// Timeout is how long the client waits for the response, 0 if not specified.
	Timeout      time.Duration
	PromptTokens table.Tokens
	MaxOutput    table.Tokens
	PromptParts  []table.PromptPart
	// LastEventID is the id of the last stream event that the client has received.
	LastEventID string
}

// ResponseHead holds the fields that the gateway reads from the status and headers
// of an endpoint's response.
type ResponseHead struct {
	// HasProof reports whether the response carries the proof that its body is the
	// endpoint's own.
	HasProof bool
	// NotRun reports that the endpoint did not run the request.
	NotRun bool
	// Misdirected reports that another endpoint is now at the address.
	Misdirected bool
	// Report is the endpoint's load report.
	Report event.LoadReport
	// Notice is what the endpoint says of itself.
	Notice event.EndpointNotice
}

// Codec translates between HTTP headers and the types of this package. An
// implementation knows the header names of clients, endpoints and the platform.
type Codec interface {
	// ParseRequest reads the headers of a client's request.
	ParseRequest(h http.Header) Request
	// AttemptHeader returns the headers to send to the endpoint, given the headers h
	// of the client. lastEventID is the id of the last event sent to the client,
	// empty if none was.
	AttemptHeader(h http.Header, c *command.CallEndpoint, lastEventID string) http.Header
	// BelongsTo reports whether a response with headers h belongs to the request.
	BelongsTo(h http.Header, requestID string) bool
	// ParseResponseHead reads the status and headers of an endpoint's response.
	ParseResponseHead(status int, h http.Header) ResponseHead
	// SetRefusalHeader sets the headers of a response that the gateway itself sends
	// to refuse a request.
	SetRefusalHeader(h http.Header, requestID string, retryAfter time.Duration)
}
