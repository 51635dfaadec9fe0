package wire

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

const sampleRequestID = table.RequestID("customer-0123/0f8fad5b-d9cb-469f-a165-70867728950e")

// encodedSize returns the size of a message's frame in bytes.
func encodedSize(tb testing.TB, t Type, body any) int {
	frame, err := AppendFrame(nil, t, body)
	require.NoError(tb, err)
	return len(frame)
}

func sampleDispatch(promptBytes int) *Dispatch {
	return &Dispatch{
		Dispatch: event.Dispatch{
			Agent: table.Holder{Process: "agent-123", Incarnation: 1 << 60}, Request: sampleRequestID, Attempt: 1,
			Endpoint: "endpoint-0123", Service: "model-0", Kind: table.ServiceModel, Budget: "customer-0123/shop-000042",
			Fingerprint: 1 << 62, Idempotent: true, ChargeLimit: 500, Priority: 5, MaxOutput: 400,
			GrantExpiresAt: table.Instant(time.Hour),
		},
		Prompt:      strings.Repeat("p", promptBytes),
		TraceParent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
	}
}

func sampleChunk(i int) *Chunk {
	return &Chunk{Request: sampleRequestID, Attempt: 1, Position: table.Tokens(i), Tokens: 1, Text: "token"}
}

func sampleEnd(tokens int) *End {
	return &End{
		Request: sampleRequestID, Attempt: 1, Status: event.AttemptDone, Ran: table.DidRun, PromptTokens: 90,
		Position: table.Tokens(tokens), Checksum: 1 << 62,
	}
}

// BenchmarkDispatchFrame measures encoding and decoding of a Dispatch for several prompt sizes.
func BenchmarkDispatchFrame(b *testing.B) {
	for _, n := range []int{0, 400, 1_600, 6_400, 25_600} {
		b.Run(fmt.Sprintf("prompt=%d", n), func(b *testing.B) {
			m := sampleDispatch(n)
			benchmarkCodec[Dispatch](b, TypeDispatch, m)
		})
	}
}

// BenchmarkAnswerFrames measures encoding and decoding of a complete answer for several
// lengths, with one chunk per token as engines stream them.
func BenchmarkAnswerFrames(b *testing.B) {
	for _, n := range []int{1, 64, 312, 1_024, 4_096} {
		b.Run(fmt.Sprintf("tokens=%d", n), func(b *testing.B) {
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				size = 0
				for i := range n {
					size += encodeAndDecode[Chunk](b, TypeChunk, sampleChunk(i))
				}
				size += encodeAndDecode[End](b, TypeEnd, sampleEnd(n))
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}

// BenchmarkHeartbeatFrame measures an agent's heartbeat for several endpoint counts.
func BenchmarkHeartbeatFrame(b *testing.B) {
	for _, n := range []int{0, 1, 2, 4, 8} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			benchmarkCodec[event.Heartbeat](b, TypeHeartbeat, sampleHeartbeat(n))
		})
	}
}

func sampleHeartbeat(endpoints int) *event.Heartbeat {
	h := &event.Heartbeat{
		Peer:  table.Holder{Process: "agent-123", Incarnation: 1 << 60},
		Clock: table.Instant(24 * time.Hour), Generation: 1_000,
		Interval: 3 * time.Second, WantedInterval: 3 * time.Second,
	}
	for i := range endpoints {
		h.Endpoints = append(h.Endpoints, event.EndpointLoad{
			Endpoint: table.EndpointID(fmt.Sprintf("endpoint-%04d", i)), Slots: 32, InFlight: 9, InFlightQuick: 5,
			InFlightTokens: 2_800, ReportTokens: 3_000, ReportAge: 2 * time.Second,
			FirstTokenTime: 300 * time.Millisecond, TokenTime: 40 * time.Millisecond, Samples: 100_000,
		})
	}
	return h
}

// BenchmarkHelloFrame measures the first message of a session for several numbers of
// endpoints at the sender.
func BenchmarkHelloFrame(b *testing.B) {
	for _, n := range []int{0, 1, 2, 4, 8} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			m := Hello{Version: Version, Process: table.Process{
				Holder: table.Holder{Process: "agent-123", Incarnation: 1 << 60}, Role: table.RoleAgent,
				Region: "region-0", Domain: "domain-0", Address: "10.0.0.1:7300", State: table.ProcessLive, Generation: 1_000,
			}, Clock: table.Instant(24 * time.Hour)}
			for i := range n {
				m.Endpoints = append(m.Endpoints, table.Endpoint{
					ID: table.EndpointID(fmt.Sprintf("endpoint-%04d", i)), Agent: "agent-123", Service: "model-0",
					Slots: 32, Region: "region-0", Domain: "domain-0",
				})
			}
			benchmarkCodec[Hello](b, TypeHello, &m)
		})
	}
}

// benchmarkCodec measures encoding and decoding of one message and reports its frame size.
func benchmarkCodec[T any](b *testing.B, t Type, body any) {
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		size = encodeAndDecode[T](b, t, body)
	}
	b.ReportMetric(float64(size), "wire-B")
}

// encodeAndDecode encodes and decodes a message and returns its frame size in bytes.
func encodeAndDecode[T any](b *testing.B, t Type, body any) int {
	frame, err := AppendFrame(nil, t, body)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := Decode[T](Frame{Type: t, Body: frame[lengthFieldSize+typeFieldSize:]}); err != nil {
		b.Fatal(err)
	}
	return len(frame)
}

// sampleControlMessages returns one sample of each control message whose size is listed in
// docs/CAPACITY.md.
func sampleControlMessages() map[Type]any {
	h := table.Holder{Process: "router-12", Incarnation: 1 << 60}
	budget := table.BudgetID("customer-0123/shop-000042")
	return map[Type]any{
		TypeCancel:       &Cancel{Request: sampleRequestID, Attempt: 1},
		TypeKeyRecord:    &event.KeyRecord{From: h, Request: sampleRequestID, Agent: h},
		TypeKeyQuery:     &event.KeyQuery{From: h, Call: 1 << 40, Request: sampleRequestID},
		TypeKeyResult:    &event.KeyResult{Call: 1 << 40, Request: sampleRequestID, Found: true, Agent: h},
		TypeSliceRequest: &event.SliceRequest{From: h, Call: 1 << 40, Budget: budget, Want: 50_000},
		TypeSliceGrant:   &event.SliceGrant{From: h, Call: 1 << 40, Budget: budget, Amount: 50_000, Lifetime: 30 * time.Minute},
		TypeSliceReport:  &event.SliceReport{From: h, Slice: 1 << 40, Budget: budget, Spent: 40_000, Returned: 10_000},
		TypeLookup:       &event.Lookup{From: h, Call: 1 << 40, Request: sampleRequestID},
		TypeCrash:        &event.Crash{Endpoint: "endpoint-0123", Fingerprints: []table.Fingerprint{1 << 62, 1 << 61}},
		TypeFence:        &event.Fence{From: h, Call: 1 << 40, Holder: h},
	}
}

// BenchmarkControlMessage reports the frame size of messages that carry no variable-length
// payload.
func BenchmarkControlMessage(b *testing.B) {
	for t, body := range sampleControlMessages() {
		b.Run(t.String(), func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = encodedSize(b, t, body)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}

// Guards against load reports that take more of the control traffic than their bound allows
// for: the system that sends them counts 30 bytes for each.
func TestLoadReportOnTheWireIsSmall(t *testing.T) {
	report := &event.RouterReport{}
	empty := encodedSize(t, TypeRouterReport, report)
	const reports = 10
	for range reports {
		report.Loads = append(report.Loads, event.ReportedLoad{
			Endpoint: "i-fc98050758", Running: 96, Waiting: 120, SlowdownPercent: 250, AgeMs: 1900, EventTimeUs: 65000,
		})
	}
	frame, err := AppendFrame(nil, TypeRouterReport, report)
	require.NoError(t, err)
	require.LessOrEqual(t, len(frame)-empty, 30*reports)
	decoded, err := Decode[event.RouterReport](Frame{Type: TypeRouterReport, Body: frame[lengthFieldSize+typeFieldSize:]})
	require.NoError(t, err)
	require.Equal(t, report.Loads, decoded.Loads)
}
