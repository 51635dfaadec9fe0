package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxInlineBody is the largest body that is written before the response is read.
	// Larger bodies are written concurrently: an endpoint may respond without reading
	// the body, and full socket buffers would then block both sides.
	maxInlineBody = 4 << 10
	// maxUnmatchedResponses is the number of responses to other requests that are
	// skipped on a reused connection.
	maxUnmatchedResponses = 2
	// maxUnmatchedBody bounds the body of a skipped response.
	maxUnmatchedBody = 1 << 20
	// maxDiscardedBody and discardTimeout bound what is read of a body that nobody needs.
	// The request waits meanwhile, and a faulty endpoint sends bytes without end, or none.
	maxDiscardedBody = 64 << 10
	discardTimeout   = 50 * time.Millisecond
)

// Request is a request to an endpoint.
type Request struct {
	// Address is the host and port to connect to.
	Address string
	// OnNewConnection is true if the request was sent to the address before. What arrives
	// on the connection that it was sent on may be a copy of the answer to that.
	OnNewConnection bool
	Method          string
	// Target is the request target, that is the path and query as the client sent them.
	Target string
	Host   string
	// Prepare returns the headers once the connection is open, just before the first
	// byte is written. An error ends the request; nothing is written then.
	Prepare func() (http.Header, error)
	// Body is the body in one or several parts.
	Body [][]byte
	// OnConnect, if set, is called with the time that a new connection took, or that
	// passed until it failed.
	OnConnect func(time.Duration)
	// Matches reports whether a response with these headers belongs to this request.
	Matches func(http.Header) bool
}

func (r *Request) bodyLength() int {
	n := 0
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// Response is the status and headers of an endpoint's response, and its body to be
// read. The caller must call Close when it has read the body or doesn't need it.
type Response struct {
	*http.Response
	pool    *Pool
	address string
	conn    *conn
	// sendResult receives the result of writing the request.
	sendResult chan error
	// bodyComplete is true once the complete body was read without an error.
	bodyComplete bool
	// stopCancel stops the context from closing the connection. It returns false if
	// the context has already done so.
	stopCancel func() bool
}

// ErrNotSent reports that no byte of the request was written. ErrWithheld reports that a
// connection was open, but Prepare or the context kept the request from being sent.
var (
	ErrNotSent  = errors.New("not sent")
	ErrWithheld = errors.New("withheld")
)

// Do sends a request and returns the response once its headers are read. Cancelling
// the context ends the request at any time, also while the body is read, by closing
// the connection. An error that is ErrNotSent guarantees that the endpoint received
// no part of the request.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	var conn *conn
	if !req.OnNewConnection {
		conn = p.get(req.Address)
	}
	if conn == nil {
		var err error
		started := time.Now()
		conn, err = p.dial(ctx, req.Address)
		if req.OnConnect != nil && ctx.Err() == nil {
			req.OnConnect(time.Since(started))
		}
		if err != nil {
			return nil, notSentError{error: err}
		}
	}
	header, err := req.Prepare()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, notSentError{error: err, withheld: true}
	}
	resp := &Response{pool: p, address: req.Address, conn: conn, sendResult: make(chan error, 1)}
	resp.stopCancel = context.AfterFunc(ctx, conn.abort)
	if err := resp.roundTrip(req, header); err != nil {
		resp.stopCancel()
		conn.abort()
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "stopped")
		}
		return nil, err
	}
	return resp, nil
}

// notSentError wraps an error that occurred before the first byte of the request was
// written.
type notSentError struct {
	error
	withheld bool
}

func (e notSentError) Is(target error) bool {
	return target == ErrNotSent || target == ErrWithheld && e.withheld
}

func (e notSentError) Unwrap() error { return e.error }

// roundTrip writes the request and reads responses until one belongs to it.
func (r *Response) roundTrip(req *Request, header http.Header) error {
	if req.bodyLength() <= maxInlineBody {
		if err := r.writeRequest(req, header); err != nil {
			return errors.Wrap(err, "send")
		}
		r.sendResult <- nil
	} else {
		go func() { r.sendResult <- r.writeRequest(req, header) }()
	}
	for range maxUnmatchedResponses + 1 {
		httpResp, err := r.conn.readHead(req.Method)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if isInterim(httpResp.StatusCode) {
			continue
		}
		if httpResp.StatusCode < http.StatusOK {
			return errors.Errorf("the status %q is none of an answer", httpResp.Status)
		}
		if req.Matches(httpResp.Header) {
			r.Response = httpResp
			r.Body = &trackedBody{response: r, ReadCloser: httpResp.Body}
			return nil
		}
		if err := discardBody(httpResp); err != nil {
			return errors.Wrap(err, "read an answer to another request")
		}
	}
	return errors.New("the answers belong to other requests")
}

// isInterim reports whether a response precedes the final one. Requests ask for no other
// protocol, so none switches to one.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// discardBody skips the body of a response to another request. Without a length or
// chunked framing it can't be separated from the next response.
func discardBody(resp *http.Response) error {
	if closeDelimited(resp) {
		return errors.New("it has no length")
	}
	_, err := io.CopyN(io.Discard, resp.Body, maxUnmatchedBody)
	if err == io.EOF {
		return nil
	}
	return errors.New("it is too long or broken")
}

func (r *Response) writeRequest(req *Request, header http.Header) error {
	w := bufio.NewWriterSize(r.conn, 2<<10)
	// bufio.Writer keeps its first error, and Flush returns it.
	_, _ = w.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if n := req.bodyLength(); n > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(n) + "\r\n")
	}
	if err := header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	for _, part := range req.Body {
		_, _ = w.Write(part)
	}
	return w.Flush()
}

// CloseDelimited reports whether the body ends when the connection closes. A truncated
// response may then look complete, unless the connection was reset.
func (r *Response) CloseDelimited() bool { return closeDelimited(r.Response) }

func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Request.Method != http.MethodHead
}

// trackedBody records when the complete body was read.
type trackedBody struct {
	response *Response
	io.ReadCloser
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if b.response.CloseDelimited() && !b.response.closedInOrder() {
			return n, errors.New("the connection was reset while the request was written")
		}
		b.response.bodyComplete = true
	}
	return n, err
}

// closedInOrder reports whether a connection at whose end a body ends was closed, not
// reset. The system reports a reset once: if the goroutine that writes the request
// receives it, the body seems to end with an orderly close.
func (r *Response) closedInOrder() bool {
	// The endpoint has answered. A write that still waits for it ends here, without
	// having received a reset.
	if err := r.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	err := <-r.sendResult
	r.sendResult <- err
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// Discard reads a body that nobody needs, so that Close can return the connection to the
// pool. It gives up on one that is long or does not arrive with the head.
func (r *Response) Discard() {
	if r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBody)
	if r.conn.SetReadDeadline(time.Time{}) != nil {
		r.bodyComplete = false
	}
}

// Close releases the connection. It goes back to the pool if both the request and the
// response are complete, and is closed otherwise.
func (r *Response) Close() {
	cancelled := !r.stopCancel()
	idleTimeout := r.idleTimeout()
	if cancelled || idleTimeout <= 0 {
		r.conn.abort()
		return
	}
	r.pool.put(r.address, r.conn, idleTimeout)
}

// idleTimeout returns how long the connection may stay idle in the pool. A value of 0
// or less means that it must not be reused.
func (r *Response) idleTimeout() time.Duration {
	select {
	case err := <-r.sendResult:
		if err != nil {
			return 0
		}
	default:
		// The endpoint responded before the request was completely written.
		return 0
	}
	if !r.bodyComplete || r.Response.Close || r.CloseDelimited() || r.conn.reader.Buffered() > 0 {
		return 0
	}
	return keepAliveTimeout(r.Header.Get("Keep-Alive"))
}

// keepAliveTimeout returns the timeout of a Keep-Alive header less idleMargin, or the
// default if the header has none.
func keepAliveTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
