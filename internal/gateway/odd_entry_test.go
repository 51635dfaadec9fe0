package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against routers that stop following the list of endpoints, and take the store for
// down, because another writer left an entry in it that cannot be decoded.
func TestUndecodableEntryDoesNotHideEndpoints(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 10_000) + strings.Repeat("]}", 10_000)
	entry := `{"metadata":{"name":"odd","revision":1},"spec":` + deep + `}`
	c := newTestClusterWith(t, func(store http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Path != "/api/objects/servers" {
				store.ServeHTTP(w, r)
				return
			}
			answer := httptest.NewRecorder()
			store.ServeHTTP(answer, r)
			body := bytes.Replace(answer.Body.Bytes(), []byte(`"entries":[`), []byte(`"entries":[`+entry+`,`), 1)
			body = bytes.Replace(body, []byte(`"events":[`), []byte(`"events":[{"object":`+entry+`},`), 1)
			w.WriteHeader(answer.Code)
			_, _ = w.Write(bytes.ReplaceAll(body, []byte(",]"), []byte("]")))
		})
	})
	c.startEndpoint("i-1", "desk", respondBooked)
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	c.startEndpoint("i-2", "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("new")) })
	id := 0
	require.Eventually(t, func() bool {
		id++
		_, body, err := gw.postRequest("/booking/1", fmt.Sprintf("r-%d", id), "")
		return err == nil && body == "new"
	}, time.Minute, 5*time.Millisecond, "an endpoint that is listed later gets requests")
	gw.shutdownAndWait()
	require.NotContains(t, gw.logs.text(), `"subject":"platform","id":"store","from":"up","to":"down"`)
}

// Guards against an endpoint that stays in use after another writer has replaced its entry
// by one that names no endpoint.
func TestEntryThatBecomesUnreadableNamesNoEndpoint(t *testing.T) {
	c := newTestCluster(t)
	c.startEndpoint("i-1", "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("replaced")) })
	c.startEndpoint("i-2", "desk", respondBooked)
	c.putConfig(1, 100_000)
	gw := c.startGateway("edge-1")
	gw.waitReady()
	c.putObject("servers", "i-1", `{"backend":"desk","address":"127.0.0.1:70000","state":"ready"}`)
	// An endpoint that is listed later shows that the change before has arrived.
	c.startEndpoint("i-3", "desk", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("new")) })
	id := 0
	send := func() string {
		id++
		_, body, err := gw.postRequest("/booking/1", fmt.Sprintf("r-%d", id), "")
		require.NoError(t, err)
		return body
	}
	require.Eventually(t, func() bool { return send() == "new" }, time.Minute, 5*time.Millisecond)
	for range 50 {
		require.NotEqual(t, "replaced", send())
	}
}
