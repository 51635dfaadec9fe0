package wire

import (
	"crypto/rand"
	"encoding/binary"
	"strconv"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Version is the protocol version. Peers with another one are refused.
const Version = 1

// NewIncarnation draws the incarnation of a process that starts.
func NewIncarnation() (table.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "draw an incarnation")
	}
	return table.Incarnation(binary.BigEndian.Uint64(b[:])), nil
}

// Type tells the messages apart.
type Type uint8

// Types of messages. Most bodies are the event types of the same name.
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
	TypeAllowance
	TypeTransferRequest
	TypeTransfer
	// The number of a message that earlier releases send for one changed entry.
	// This one ends sessions over it, so that their copies do not mix.
	_
	TypeLedgerChange
	TypeLimitRequest
)

var typeNames = [...]string{
	"", "Hello", "Heartbeat", "Dispatch", "Chunk", "End", "Cancel", "Lookup", "LookupResult",
	"SliceRequest", "SliceGrant", "SliceReport", "KeyRecord", "KeyQuery", "KeyResult",
	"Fence", "FenceResult", "ConfigRequest", "ConfigBody", "Crash", "Drain",
	"Allowance", "TransferRequest", "Transfer", "", "LedgerChange", "LimitRequest",
}

// String returns the name of the message type.
func (t Type) String() string {
	if int(t) < len(typeNames) && t > 0 {
		return typeNames[t]
	}
	return "type " + strconv.Itoa(int(t))
}

// Hello is the first message of both sides of a session.
type Hello struct {
	Version   int
	Process   table.Process
	Clock     table.Instant
	Endpoints []table.Endpoint
}

// Dispatch carries an attempt with its payload.
type Dispatch struct {
	event.Dispatch
	// Prompt is the caller's prompt, Prefix the answer text delivered so far.
	Prompt string
	Prefix string
	// Body is the input of a plain call.
	Body []byte
	// Trace is the W3C traceparent of the router's span.
	Trace string
}

// Chunk carries part of an answer.
type Chunk struct {
	Request  table.RequestID
	Attempt  uint32
	Position table.Tokens
	Tokens   table.Tokens
	Text     string
}

// End ends an attempt. For a whole answer, Position and Checksum cover the
// whole text, including what earlier attempts produced.
type End struct {
	Request  table.RequestID
	Attempt  uint32
	Status   event.AttemptStatus
	Code     table.Code
	Reason   string
	Ran      table.Ran
	Prompt   table.Tokens
	Position table.Tokens
	Checksum uint64
	Replayed bool
	Cost     table.Tokens
	InFlight int
	// Body is the answer of a plain call.
	Body []byte
}

// Cancel ends a run.
type Cancel struct {
	Request table.RequestID
	Attempt uint32
}

// ConfigRequest asks for the configuration in force if it is newer than the
// sender's, and for the processes that the receiver knows.
type ConfigRequest struct{ Generation table.Generation }

// ConfigBody carries the configuration in force, and the processes that the
// sender knows, for a process that cannot reach the platform. Text is empty if
// the receiver has the generation.
type ConfigBody struct {
	Generation table.Generation
	Text       string
	Processes  []table.Process
	Endpoints  []table.Endpoint
}

// Drain orders an agent to mark an endpoint, or itself, as leaving.
type Drain struct {
	Target string
	Undo   bool
	Reason string
}
