package wire

import (
	"crypto/rand"
	"encoding/binary"
	"strconv"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Version is the protocol version. The handshake fails if the peer has another version.
const Version = 1

// NewIncarnation returns a random identifier for one run of a process.
func NewIncarnation() (table.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "generate incarnation")
	}
	return table.Incarnation(binary.BigEndian.Uint64(b[:])), nil
}

// Type identifies the kind of a message. Values are part of the protocol.
type Type uint8

// Message types. Most bodies are the types of the same name in package event.
const (
	TypeHello Type = iota + 1
	TypeHeartbeat
	TypeDispatch
	TypeChunk
	TypeEnd
	TypeCancel
	TypeLookup
	TypeLookupResult
	TypeSliceRequest
	TypeSliceGrant
	TypeSliceReport
	TypeKeyRecord
	TypeKeyQuery
	TypeKeyResult
	TypeFence
	TypeFenceResult
	TypeConfigRequest
	TypeConfigBody
	TypeCrash
	TypeDrain
	TypeRouterReport
	TypeTransferRequest
	TypeTransfer
	// Reserved: earlier releases send this type for a single changed ledger entry. Receiving it
	// closes the session, so that ledger copies of the two formats are not mixed.
	_
	TypeLedgerChange
	TypeLimitRequest
	TypeEndpointChanges
	TypeManifest
)

var typeNames = [...]string{
	"", "Hello", "Heartbeat", "Dispatch", "Chunk", "End", "Cancel", "Lookup", "LookupResult",
	"SliceRequest", "SliceGrant", "SliceReport", "KeyRecord", "KeyQuery", "KeyResult",
	"Fence", "FenceResult", "ConfigRequest", "ConfigBody", "Crash", "Drain",
	"RouterReport", "TransferRequest", "Transfer", "", "LedgerChange", "LimitRequest", "EndpointChanges", "Manifest",
}

// String returns the name of the message type.
func (t Type) String() string {
	if int(t) < len(typeNames) && t > 0 {
		return typeNames[t]
	}
	return "type " + strconv.Itoa(int(t))
}

// Hello is the first message that each side sends on a session.
type Hello struct {
	Version   int
	Process   table.Process
	Clock     table.Instant
	Endpoints []table.Endpoint
}

// Dispatch sends an attempt and its payload to an agent.
type Dispatch struct {
	event.Dispatch
	// Prompt is the caller's prompt, Prefix the answer text delivered so far.
	Prompt string
	Prefix string
	// Body is the request body of a call to a plain service.
	Body []byte
	// TraceParent is the traceparent (W3C Trace Context) of the router's span.
	TraceParent string `msgpack:"Trace"`
}

// Chunk carries part of an answer. Position is the number of tokens before it.
type Chunk struct {
	Request  table.RequestID
	Attempt  uint32
	Position table.Tokens
	Tokens   table.Tokens
	Text     string
}

// End reports the result of an attempt. Position and Checksum (xxHash64) cover the answer from
// its start, including text that earlier attempts produced; for a call to a plain service,
// Checksum covers Body.
type End struct {
	Request      table.RequestID
	Attempt      uint32
	Status       event.AttemptStatus
	Code         table.Code
	Reason       string
	Ran          table.Ran
	PromptTokens table.Tokens `msgpack:"Prompt"`
	Position     table.Tokens
	Checksum     uint64
	Replayed     bool
	Cost         table.Tokens
	InFlight     int
	// Body is the response body of a plain service.
	Body []byte
}

// Cancel asks an agent to cancel the run of an attempt.
type Cancel struct {
	Request table.RequestID
	Attempt uint32
}

// ConfigRequest asks for the active configuration, if it is newer than the sender's Generation,
// and for the processes that the receiver knows.
type ConfigRequest struct{ Generation table.Generation }

// ConfigBody answers a ConfigRequest with the active configuration and the processes that the
// sender knows, so that a process that can't reach the platform can start. Text is empty if the
// requester already has this generation.
type ConfigBody struct {
	Generation table.Generation
	Text       string
	Processes  []table.Process
	Endpoints  []table.Endpoint
}

// Drain tells an agent to mark an endpoint or itself as leaving, or to revoke that if Undo is
// set. Target is the id of the endpoint or agent.
type Drain struct {
	Target string
	Undo   bool
	Reason string
}
