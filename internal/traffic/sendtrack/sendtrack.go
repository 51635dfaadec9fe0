// Package sendtrack determines whether an HTTP request that got no response may have
// reached the server.
package sendtrack

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Tracker records whether a connection was available to a request, which may then have
// been sent.
type Tracker struct{ connected atomic.Bool }

// Track returns a context to use for one HTTP request, and the tracker of that request.
func Track(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	clientTrace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, clientTrace), t
}

// NotSent reports whether a request that failed with err was certainly not sent. Without
// a connection nothing was sent. A failed dial means the same even after an earlier
// connection: for a request that is not idempotent, the HTTP transport only dials again
// if it has not written any byte of the request.
func (t *Tracker) NotSent(err error) bool {
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	return dialFailed || !t.connected.Load()
}
