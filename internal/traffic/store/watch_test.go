package store_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/store"
	"laburnumroad.dev/laburnumroad/platform"
)

// Guards against a configuration that is missed after the platform returned from an older copy,
// because the revision to go on from was given out again before the watch was sent.
func TestWatchListsAgainAfterReturn(t *testing.T) {
	lists := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			w.Header().Set("Store-Era", "2")
			fmt.Fprint(w, `{"events":[],"at":12}`)
			return
		}
		lists++
		w.Header().Set("Store-Era", fmt.Sprint(lists))
		fmt.Fprintf(w, `{"entries":[{"metadata":{"name":"fleet","revision":%d},"spec":{"generation":%d,"text":""}}],"has_more":false,"at":10}`, 8+lists, lists)
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	received := make(chan table.Generation, 2)
	done := make(chan struct{})
	go func() {
		defer close(done)
		store.New(platform.New(server.URL, platform.Options{}), func(event.Event) {}).
			WatchConfig(ctx, func(g table.Generation, _ string) { received <- g })
	}()
	for _, want := range []table.Generation{1, 2} {
		select {
		case g := <-received:
			require.Equal(t, want, g)
		case <-ctx.Done():
			require.Fail(t, "not received", "generation %d", want)
		}
	}
	cancel()
	<-done
}
