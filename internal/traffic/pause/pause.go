// Package pause lets a traffic goroutine wait until a time has passed or its work
// is called off.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns the error of the context if that ends first.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
