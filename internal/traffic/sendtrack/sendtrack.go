// Package sendtrack tells whether an HTTP request that got no answer may have
// reached its server.
package sendtrack

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Tracker records whether a request may have reached the network.
type Tracker struct{ connected atomic.Bool }

// Track returns a context for one request and its tracker.
func Track(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), t
}

// NotSent reports whether a request that failed with err was certainly not
// sent. Without a connection nothing was sent. A failed dial says the same even
// after an earlier connection: the transport dials again for a request with an
// effect only if it had sent no byte of it.
func (t *Tracker) NotSent(err error) bool {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	return dialFailed || !t.connected.Load()
}
