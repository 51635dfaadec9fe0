package front_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/traffic/front"
)

// Guards against a body that is refused although there is memory for it, because another
// one that is too large for the rest asks at the same time.
func TestRefusedBodyTakesNoMemoryFromOthers(t *testing.T) {
	const rounds = 200_000
	m := front.NewMemory(10)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				if m.Acquire(11) {
					panic("more memory than there is")
				}
			}
		}
	}()
	refused := 0
	for range rounds {
		if !m.Acquire(10) {
			refused++
			continue
		}
		m.Release(10)
	}
	close(stop)
	<-stopped
	require.Zero(t, refused)
	require.Zero(t, m.Used())
}
