// Package pause provides a sleep for traffic goroutines that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// Sleep waits for the duration d. If the context ends first, it returns the context's
// error.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
