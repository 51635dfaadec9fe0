package fake

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout bounds the wait for the head of a request.
const headerTimeout = 10 * time.Second

// Serve runs a handler until ctx ends. It closes the listener and all
// connections.
func Serve(ctx context.Context, listener net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// ServeEngine runs an engine until ctx ends. While the engine is down, its
// port is closed, so that connections are refused.
func ServeEngine(ctx context.Context, listener net.Listener, e *Engine) error {
	address := listener.Addr().String()
	for {
		if err := serveUntilDown(ctx, listener, e); err != nil || ctx.Err() != nil {
			return err
		}
		if e.AwaitDown(ctx, false) != nil {
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
		// An error means that ctx ended or the engine was closed.
		_ = e.AwaitDown(ctx, true)
	}()
	return Serve(ctx, listener, e)
}
