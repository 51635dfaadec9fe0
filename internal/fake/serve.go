package fake

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

// Serve serves a handler until ctx is done. It then closes the listener and all
// connections.
func Serve(ctx context.Context, listener net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// ServeEngine serves an engine until ctx is done. While the engine is down, its port
// is closed, so that connections are refused.
func ServeEngine(ctx context.Context, listener net.Listener, e *Engine) error {
	address := listener.Addr().String()
	for {
		if err := serveUntilDown(ctx, listener, e); err != nil || ctx.Err() != nil {
			return err
		}
		if e.WaitForState(ctx, false) != nil {
			return nil
		}
		var err error
		if listener, err = net.Listen("tcp", address); err != nil {
			return errors.WithStack(err)
		}
	}
}

func serveUntilDown(ctx context.Context, listener net.Listener, e *Engine) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		// An error means that ctx is done or the engine was closed.
		_ = e.WaitForState(ctx, true)
	}()
	return Serve(ctx, listener, e)
}
