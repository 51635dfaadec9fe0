package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// inlineBody is the size up to which a body is written before the answer is
	// read. Larger ones are written beside it, because an endpoint may answer
	// without reading, and a full connection would block both sides.
	inlineBody = 4 << 10
	// maxForeign bounds the answers to other requests that are passed over on a
	// kept connection.
	maxForeign = 2
	// maxForeignBody bounds their bodies.
	maxForeignBody = 1 << 20
)

// Call is one request to an endpoint.
type Call struct {
	Address string
	Method  string
	// Target is the path and query, as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to this call.
	Matches func(http.Header) bool
}

// Answer is the head of an endpoint's answer. Close must be called once the
// body was read, or is not wanted.
type Answer struct {
	*http.Response
	pool    *Pool
	address string
	conn    *conn
	written chan error
	// intact is true once the whole body was read without an error.
	intact bool
	stop   func() bool
}

// ErrNotSent says that no byte of the request was written.
var ErrNotSent = errors.New("not sent")

// Do sends a call and returns the head of its answer. The context ends the call
// at any time, by closing the connection. An error that is ErrNotSent means
// that the endpoint has seen nothing of the request.
func (p *Pool) Do(ctx context.Context, c *Call) (*Answer, error) {
	k := p.take(c.Address)
	if k == nil {
		var err error
		if k, err = p.dial(ctx, c.Address); err != nil {
			return nil, notSent{err}
		}
	}
	a := &Answer{pool: p, address: c.Address, conn: k, written: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, func() { k.Close() })
	if err := a.exchange(c); err != nil {
		a.stop()
		k.Close()
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "stopped")
		}
		return nil, err
	}
	return a, nil
}

// notSent marks an error before the first byte of the request.
type notSent struct{ error }

func (e notSent) Is(target error) bool { return target == ErrNotSent }

func (e notSent) Unwrap() error { return e.error }

func (a *Answer) exchange(c *Call) error {
	if len(c.Body) <= inlineBody {
		if err := a.send(c); err != nil {
			return errors.Wrap(err, "send")
		}
		a.written <- nil
	} else {
		go func() { a.written <- a.send(c) }()
	}
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: c.Method})
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			// Interim answers precede the answer.
			continue
		}
		if c.Matches(resp.Header) {
			a.Response = resp
			a.Body = &body{answer: a, ReadCloser: resp.Body}
			return nil
		}
		if err := skip(resp); err != nil {
			return errors.Wrap(err, "read an answer to another request")
		}
	}
	return errors.New("the answers belong to other requests")
}

// skip reads an answer to another request. Only one with a stated length can be
// told from what follows it.
func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("it has no length")
	}
	_, err := io.CopyN(io.Discard, resp.Body, maxForeignBody)
	if err == io.EOF {
		return nil
	}
	return errors.New("it is too long or broken")
}

func (a *Answer) send(c *Call) error {
	w := bufio.NewWriterSize(a.conn, 2<<10)
	// A bufio.Writer keeps its first error, which Flush returns.
	_, _ = w.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	if err := c.Header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(c.Body)
	return w.Flush()
}

// Unframed reports whether the end of the body is the end of the connection, so
// that an answer that was cut off may look whole.
func (a *Answer) Unframed() bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// body notes when the whole body was read.
type body struct {
	answer *Answer
	io.ReadCloser
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.answer.intact = true
	}
	return n, err
}

// Close ends the call. The connection is kept if request and answer are whole.
func (a *Answer) Close() {
	stopped := !a.stop()
	keep := a.keep()
	if stopped || keep <= 0 {
		a.conn.Close()
		return
	}
	a.pool.put(a.address, a.conn, keep)
}

// keep returns how long the connection may be kept, or 0.
func (a *Answer) keep() time.Duration {
	select {
	case err := <-a.written:
		if err != nil {
			return 0
		}
	default:
		// The endpoint answered before the request was written.
		return 0
	}
	if !a.intact || a.Response.Close || a.Unframed() || a.conn.reader.Buffered() > 0 {
		return 0
	}
	return idleTime(a.Header.Get("Keep-Alive"))
}

// idleTime reads how long the endpoint keeps an idle connection.
func idleTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
