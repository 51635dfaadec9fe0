package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/traffic/upstream"
)

const (
	// maxEventBytes is the largest event of a stream. An event holds a few tokens.
	maxEventBytes = 64 << 10
	// maxExtraEvents is how many events a stream may have beyond one for each token
	// that the request may be answered with.
	maxExtraEvents = 8
	// streamBufferBytes is the size of a stream's read buffer.
	streamBufferBytes = 4 << 10
)

// eventIDField is the field of a server-sent event that holds its id.
var eventIDField = []byte("id:")

// relayStream forwards the events of a stream to the client as they arrive. Only
// complete events are forwarded, so that another endpoint can resume the stream
// after the last one.
func (x *exchange) relayStream(end *event.DirectAttemptEnd, c *command.CallEndpoint, resp *upstream.Response) {
	r := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	started, hasData, continued, large := false, false, x.headerSent, false
	lastEventTime := time.Time{}
	if continued && contentType(resp.Header) != x.contentType {
		end.Status, end.Reason = event.DirectOutcomeUnknown, "the endpoint did not continue the stream: its answer has another content type"
		return
	}
	for {
		text, err := readEvent(r)
		if err != nil {
			x.classifyStreamEnd(end, resp, hasData, text, err)
			return
		}
		if !large && len(text) > streamBufferBytes {
			if err := x.holding.Grow(maxEventBytes); err != nil {
				end.Status, end.Reason = event.DirectOutcomeUnknown, errors.Wrap(err, "read an event").Error()
				return
			}
			large = true
			defer x.holding.Shrink(maxEventBytes)
		}
		if resp.CloseDelimited() || continued {
			fields := parseFields(text)
			if !fields.valid {
				end.Status, end.Reason = event.DirectOutcomeUnknown, "a stream without a length, or one that continues another, has bytes that are not an event"
				return
			}
			hasData = hasData || fields.hasData
		}
		if continued && !started && x.lastEventID != "" && parseEventID(text) == "" {
			end.Status, end.Reason = event.DirectOutcomeUnknown, "the endpoint did not continue the stream: its first event has no id"
			return
		}
		if !started {
			started = true
			x.setReportAge(end)
			x.server.Post(event.DirectAnswerStarted{Exchange: x.id, Attempt: c.Attempt, Report: end.Report, Notice: end.Notice})
		}
		if limit := x.request.MaxOutput; limit > 0 && x.eventsSent >= int64(limit)+maxExtraEvents {
			end.Status, end.Reason = event.DirectOutcomeUnknown, "the stream has more events than the request may have tokens"
			return
		}
		end.AnswerBytes += int64(len(text))
		now := time.Now()
		if !lastEventTime.IsZero() {
			end.LongestGap = max(end.LongestGap, now.Sub(lastEventTime))
		}
		lastEventTime = now
		id := parseEventID(text)
		if id != "" && !isNextEventID(id, x.lastEventID) {
			end.Status, end.Reason = event.DirectOutcomeUnknown, "event "+id+" does not follow event "+x.lastEventID
			return
		}
		x.sendHeader(resp)
		if err := x.writeEvent(id, text); err != nil {
			end.Status, end.ClientLost, end.Reason = event.DirectOutcomeUnknown, true, err.Error()
			return
		}
		if id == "" {
			continue
		}
		if x.attemptEvents++; x.attemptEvents == event.ContinuedEvents {
			x.server.Post(event.DirectAnswerContinued{Exchange: x.id, Attempt: c.Attempt})
		}
	}
}

// classifyStreamEnd sets the result of an attempt whose stream ended, and
// distinguishes a complete stream from a truncated one. partialEvent holds the bytes
// read after the last complete event.
//
// A stream with neither a length nor chunks is complete if its connection was closed,
// not reset, between two events. hasData reports whether it had a complete event with
// data; without one, nothing shows that the endpoint began to answer.
func (x *exchange) classifyStreamEnd(end *event.DirectAttemptEnd, resp *upstream.Response, hasData bool, partialEvent []byte, err error) {
	if err == io.EOF && resp.CloseDelimited() && (len(partialEvent) > 0 || !hasData) {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err != io.EOF:
		end.Status, end.ConnectionLost, end.Reason = event.DirectOutcomeUnknown, true, errors.Wrap(err, "stream cut off").Error()
	case len(partialEvent) > 0:
		end.Status, end.Reason = event.DirectOutcomeUnknown, "the stream ends in the middle of an event"
	default:
		x.sendHeader(resp)
		end.Status, end.Undelimited, end.Reason = event.DirectAnswered, resp.CloseDelimited(), "whole stream"
	}
}

// readEvent reads one event, including the blank line that ends it. On an error it
// returns the bytes read so far.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var text []byte
	for len(text) < maxEventBytes {
		line, err := r.ReadSlice('\n')
		text = append(text, line...)
		if err != nil && err != bufio.ErrBufferFull {
			return text, err
		}
		if string(line) == "\n" || string(line) == "\r\n" {
			return text, nil
		}
	}
	return text, errors.New("an event is too long")
}

// writeEvent sends one event, with its id if it has one, to the client. A client that
// does not read it within clientWriteTimeout is given up.
func (x *exchange) writeEvent(id string, text []byte) error {
	rc := http.NewResponseController(x.w)
	if err := rc.SetWriteDeadline(time.Now().Add(clientWriteTimeout)); err != nil {
		return errors.Wrap(err, "set the write deadline")
	}
	if _, err := x.w.Write(text); err != nil {
		return errors.Wrap(err, "write to the client")
	}
	if err := rc.Flush(); err != nil {
		return errors.Wrap(err, "write to the client")
	}
	// The deadline must not apply to later responses on the connection.
	if err := rc.SetWriteDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "clear the write deadline")
	}
	x.eventsSent++
	if id != "" {
		x.lastEventID = id
	}
	return nil
}

// sendHeader sends the status and headers of the first response to the client. A
// resumed stream keeps them.
func (x *exchange) sendHeader(resp *upstream.Response) {
	if x.headerSent {
		return
	}
	x.copyHeader(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	x.headerSent, x.contentType = true, contentType(resp.Header)
}

// contentType returns the media type of a response without its parameters.
func contentType(h http.Header) string {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(mediaType))
}

// parseEventID returns the id of an event, or "" if it has none.
func parseEventID(text []byte) string {
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, eventIDField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// eventFields describes the fields of an event.
type eventFields struct {
	// valid is true if each line is a comment or may be a field of a server-sent event.
	// Where neither a length nor chunks delimit a stream, another line may be the start
	// of something else.
	valid   bool
	hasData bool
}

func parseFields(text []byte) eventFields {
	f := eventFields{valid: true}
	for line := range bytes.Lines(text) {
		name, _, isField := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "data":
			f.hasData = true
		case "", "id", "event", "retry":
		default:
			// Endpoints add fields of their own. The status line and the headers of
			// another response are no such lines.
			f.valid = f.valid && isField && isFieldName(name)
		}
	}
	return f
}

// isFieldName reports whether a name has only lower-case letters and hyphens.
func isFieldName(name []byte) bool {
	return !bytes.ContainsFunc(name, func(r rune) bool { return (r < 'a' || r > 'z') && r != '-' })
}

// isNextEventID reports whether id is the successor of last. Any number may be the
// first id of a stream.
func isNextEventID(id, last string) bool {
	current, err := strconv.ParseInt(id, 10, 64)
	if err != nil || last == "" {
		return err == nil
	}
	previous, err := strconv.ParseInt(last, 10, 64)
	return err == nil && current == previous+1
}
