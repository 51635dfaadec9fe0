package front

import (
	"net/http"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Request is what the router needs to know of a client's request.
type Request struct {
	// ID names the request; it is empty if the client sent none.
	ID string
	// HasKey is false if no key was sent.
	HasKey  bool
	KeyHash table.KeyHash
	// Budget is how long the client waits, 0 if not told.
	Budget    time.Duration
	Prompt    table.Tokens
	MaxOutput table.Tokens
	Parts     []table.PromptPart
	// LastEvent is the id of the last event that the client has.
	LastEvent string
}

// Head is what the head of an endpoint's answer says beyond its status.
type Head struct {
	// Genuine answers carry the endpoint's proof.
	Genuine bool
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Misdirected says that another endpoint has the address.
	Misdirected bool
	Report      event.EndpointReport
}

// Codec translates between HTTP headers and the values above. It knows the
// names that clients, endpoints and the platform use.
type Codec interface {
	// Request reads the headers of a client's request.
	Request(h http.Header) Request
	// Outgoing returns the headers of an attempt. lastEvent is the id of the last
	// event that was passed to the client, if any was.
	Outgoing(h http.Header, c *command.CallEndpoint, lastEvent string) http.Header
	// Matches reports whether an answer belongs to the request.
	Matches(h http.Header, requestID string) bool
	// Head reads the head of an answer.
	Head(status int, h http.Header) Head
	// Refuse adds what a refusal of the router says.
	Refuse(h http.Header, requestID string, retryAfter time.Duration)
}
