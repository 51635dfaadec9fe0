package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/traffic/engine"
)

// newTestClient returns a client of a test server with the given handler.
func newTestClient(t *testing.T, h http.HandlerFunc) *engine.Client {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return engine.New(server.URL, engine.Options{HTTPClient: server.Client()})
}

// newStreamClient returns a client of an engine that sends text and then calls end.
func newStreamClient(t *testing.T, text string, end func()) *engine.Client {
	return newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		end()
	})
}

// abortConnection makes the test server close the connection without ending the response.
func abortConnection() { panic(http.ErrAbortHandler) }

var generateRequest = engine.GenerateRequest{Prompt: "p", MaxTotalTokens: 11, MaxOutputTokens: 10}

// readAll reads a stream until Done or an error and returns its text.
func readAll(t *testing.T, c *engine.Client) (string, error) {
	s, err := c.Generate(t.Context(), generateRequest)
	require.NoError(t, err)
	defer s.Close()
	var text strings.Builder
	for {
		delta, err := s.Next()
		if err != nil {
			_, repeated := s.Next()
			require.Equal(t, err, repeated, "an error is final")
			return text.String(), err
		}
		text.WriteString(delta.Text)
		if delta.Done {
			return text.String(), nil
		}
	}
}

const (
	oneTokenLine = `{"tokens":1,"text":"a"}` + "\n"
	doneLine     = `{"done":true,"prompt_tokens":1,"output_tokens":1}` + "\n"
)

// Guards against accepting a truncated or invalid stream as complete.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	cases := map[string]struct {
		text        string
		end         func()
		unavailable bool
	}{
		"clean end":              {text: oneTokenLine, end: func() {}},
		"clean end, no text":     {text: "", end: func() {}},
		"lost connection":        {text: oneTokenLine, end: abortConnection, unavailable: true},
		"lost in a line":         {text: oneTokenLine + `{"done":tr`, end: abortConnection, unavailable: true},
		"truncated line":         {text: oneTokenLine + `{"done":tr`, end: func() {}},
		"end counts more tokens": {text: oneTokenLine + `{"done":true,"output_tokens":2}` + "\n", end: func() {}},
		"end counts less tokens": {text: oneTokenLine + oneTokenLine + doneLine, end: func() {}},
		"error line":             {text: oneTokenLine + `{"error":"out of memory"}` + "\n" + doneLine, end: func() {}},
		"negative count":         {text: `{"tokens":-1}` + "\n" + doneLine, end: func() {}},
		"over the token limit":   {text: `{"tokens":11}` + "\n" + `{"done":true,"output_tokens":11}` + "\n", end: func() {}},
		"line too long":          {text: `{"text":"` + strings.Repeat("a", 300<<10) + `"}` + "\n" + doneLine, end: func() {}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(t, newStreamClient(t, tc.text, tc.end))
			require.ErrorIs(t, err, engine.ErrTruncated)
			require.NotErrorIs(t, err, engine.ErrNotRun)
			require.NotErrorIs(t, err, io.EOF)
			require.Equal(t, tc.unavailable, isUnavailable(err))
		})
	}
}

func isUnavailable(err error) bool {
	return errors.Is(err, engine.ErrUnavailable)
}

// Guards against an endless stream of lines that contain text but state no tokens, which the
// token limit doesn't stop.
func TestStreamSizeIsLimited(t *testing.T) {
	line := []byte(`{"text":"` + strings.Repeat("a", 200<<10) + `"}` + "\n")
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for r.Context().Err() == nil {
			_, _ = w.Write(line)
		}
	})
	s, err := c.Generate(t.Context(), generateRequest)
	require.NoError(t, err)
	for err == nil {
		_, err = s.Next()
	}
	require.ErrorIs(t, err, engine.ErrTruncated)
}

// Guards against rejecting a complete stream and against reading lines after its end.
func TestCompleteStream(t *testing.T) {
	text, err := readAll(t, newStreamClient(t, oneTokenLine+doneLine+oneTokenLine, func() {}))
	require.NoError(t, err)
	require.Equal(t, "a", text)
}

// Guards against Next returning io.EOF after the end: a caller that treats io.EOF as the end of a
// complete response could accept a truncated one.
func TestNextAfterDoneIsNotEOF(t *testing.T) {
	s, err := newStreamClient(t, oneTokenLine+doneLine, func() {}).Generate(t.Context(), generateRequest)
	require.NoError(t, err)
	for range 2 {
		_, err = s.Next()
		require.NoError(t, err)
	}
	_, err = s.Next()
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
}

// Guards against a run that continues at the engine after the caller cancelled it.
func TestCancelReachesEngine(t *testing.T) {
	for _, method := range []string{"cancel", "close"} {
		t.Run(method, func(t *testing.T) {
			disconnected := make(chan struct{})
			c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, oneTokenLine)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				close(disconnected)
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s, err := c.Generate(ctx, generateRequest)
			require.NoError(t, err)
			_, err = s.Next()
			require.NoError(t, err)
			if method == "close" {
				s.Close()
				<-disconnected
				return
			}
			cancel()
			_, err = s.Next()
			require.ErrorIs(t, err, engine.ErrTruncated)
			require.ErrorIs(t, err, context.Canceled)
			require.False(t, isUnavailable(err), "the engine did not fail")
			<-disconnected
		})
	}
}

// Guards against classifying a request as not run although it may have run, and the reverse.
func TestResponseClassification(t *testing.T) {
	respondWith := func(status int, refusal string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if refusal != "" {
				w.Header().Set("Refusal", refusal)
			}
			w.WriteHeader(status)
		}
	}
	cases := []struct {
		name           string
		handler        http.HandlerFunc
		generate, call error
	}{
		{"stated refusal", respondWith(http.StatusServiceUnavailable, "not_run"), engine.ErrNotRun, engine.ErrNotRun},
		{"prompt too long", respondWith(http.StatusBadRequest, "prompt_too_long"), engine.ErrPromptTooLong, engine.ErrPromptTooLong},
		{"503 without statement", respondWith(http.StatusServiceUnavailable, ""), engine.ErrUnavailable, engine.ErrUnavailable},
		{"502 without statement", respondWith(http.StatusBadGateway, ""), engine.ErrUnavailable, engine.ErrUnavailable},
		{"error of the service", respondWith(http.StatusInternalServerError, ""), engine.ErrUnavailable, nil},
		{"lost connection", func(http.ResponseWriter, *http.Request) { abortConnection() }, engine.ErrUnavailable, engine.ErrUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestClient(t, tc.handler)
			_, err := c.Generate(t.Context(), generateRequest)
			requireOnlyError(t, err, tc.generate)
			_, err = c.Call(t.Context(), engine.CallRequest{Operation: "book", Key: "k"})
			requireOnlyError(t, err, tc.call)
		})
	}
}

// requireOnlyError checks that err matches want and no other sentinel error of the package.
func requireOnlyError(t *testing.T, err, want error) {
	if want == nil {
		require.NoError(t, err)
		return
	}
	for _, sentinel := range []error{engine.ErrNotRun, engine.ErrTruncated, engine.ErrUnavailable, engine.ErrPromptTooLong} {
		if sentinel == want {
			require.ErrorIs(t, err, sentinel)
			continue
		}
		require.NotErrorIs(t, err, sentinel)
	}
}

// Guards against classifying a request as possibly run after the connection was refused.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	c := engine.New(server.URL, engine.Options{})
	_, err := c.Generate(t.Context(), generateRequest)
	require.ErrorIs(t, err, engine.ErrNotRun)
	require.ErrorIs(t, err, engine.ErrUnavailable)
	_, err = c.Call(t.Context(), engine.CallRequest{Operation: "book", Key: "k"})
	require.ErrorIs(t, err, engine.ErrNotRun)
}

// Guards against classifying a call as not run that was cancelled after it was sent.
func TestCancelledCallMayHaveRun(t *testing.T) {
	received := make(chan struct{})
	c := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := c.Call(ctx, engine.CallRequest{Operation: "book", Key: "k"})
	requireOnlyError(t, err, engine.ErrTruncated)

	_, err = c.Call(ctx, engine.CallRequest{Operation: "book", Key: "k"})
	requireOnlyError(t, err, engine.ErrNotRun)
}

// Guards against sending a call twice: the HTTP transport can repeat a request when a reused
// connection breaks, and the HTTP client when it follows a redirect.
func TestCallIsSentOnce(t *testing.T) {
	for _, fault := range []string{"lost connection", "redirect"} {
		t.Run(fault, func(t *testing.T) {
			var requestCount atomic.Int64
			c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if strings.HasSuffix(r.URL.Path, "/warm-up") {
					return
				}
				requestCount.Add(1)
				if fault == "redirect" {
					http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
					return
				}
				abortConnection()
			})
			for range 20 {
				_, err := c.Call(t.Context(), engine.CallRequest{Operation: "warm-up"})
				require.NoError(t, err)
				before := requestCount.Load()
				_, _ = c.Call(t.Context(), engine.CallRequest{Operation: "book", Key: "k", Body: []byte("b")})
				require.Equal(t, before+1, requestCount.Load())
			}
		})
	}
}

// Guards against different keys that the service receives as the same header value.
func TestDistinctKeysAreSentDistinctly(t *testing.T) {
	var receivedKey atomic.Value
	c := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { receivedKey.Store(r.Header.Get("Request-Key")) })
	keyByHeader := map[string]string{}
	for _, key := range []string{"a", " a", "a ", "a\n", "a+", "a%20", "ä", strings.Repeat("k", 1000)} {
		_, err := c.Call(t.Context(), engine.CallRequest{Operation: "book", Key: key})
		require.NoError(t, err)
		header, ok := receivedKey.Load().(string)
		require.True(t, ok)
		require.Empty(t, keyByHeader[header], "two keys have the same header value")
		keyByHeader[header] = key
	}
}

// Guards against reading a response of unlimited size and against accepting a truncated one.
func TestCallResponseIsLimitedAndComplete(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"too long": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20+1)) },
		"truncated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "abc")
			_ = http.NewResponseController(w).Flush()
			abortConnection()
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newTestClient(t, handler).Call(t.Context(), engine.CallRequest{Operation: "book"})
			require.ErrorIs(t, err, engine.ErrTruncated)
			require.NotErrorIs(t, err, engine.ErrNotRun)
			require.Equal(t, name == "truncated", isUnavailable(err))
		})
	}
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) })
	response, err := c.Call(t.Context(), engine.CallRequest{Operation: "book"})
	require.NoError(t, err)
	require.Len(t, response.Body, 1<<20)
}

// Guards against sending a request that exceeds the size limit.
func TestOversizedRequestIsNotRun(t *testing.T) {
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	_, err := c.Generate(t.Context(), engine.GenerateRequest{Prompt: strings.Repeat("a", engine.MaxRequestBytes)})
	requireOnlyError(t, err, engine.ErrNotRun)
	_, err = c.Call(t.Context(), engine.CallRequest{Operation: "x", Body: make([]byte, engine.MaxRequestBytes+1)})
	requireOnlyError(t, err, engine.ErrNotRun)
}

// Guards against treating an invalid load report as that of an idle engine.
func TestInvalidLoadReportIsAnError(t *testing.T) {
	for _, body := range []string{"", "[]", `{"active":1`, `{"queued":-1}`, fmt.Sprintf(`{"active":1,"x":%q}`, strings.Repeat("a", 70_000))} {
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		_, err := c.Load(t.Context())
		require.ErrorIs(t, err, engine.ErrUnavailable)
	}
}

// startRawService returns a client of a service that answers each request on a new
// connection with h, which need not read it. What the client sends does not fit into the
// service's buffer.
func startRawService(t *testing.T, h func(c *net.TCPConn)) *engine.Client {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go h(c.(*net.TCPConn))
		}
	}()
	return engine.New("http://"+listener.Addr().String(), engine.Options{})
}

// Guards against a part of an answer that is returned as the whole: the service answers
// without a length while the call is still being sent, and then resets the connection. The
// reset may be reported to the goroutine that sends, and the answer seems to end in order.
func TestResetAnswerWithoutLengthIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		calls int
	}{"at once": {0, 1000}, "after the part was read": {20 * time.Millisecond, 20}} {
		t.Run(name, func(t *testing.T) {
			delay, calls := c.delay, c.calls
			c := startRawService(t, func(conn *net.TCPConn) {
				// The call has begun to be sent.
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the answer")
				time.Sleep(delay)
				_ = conn.SetLinger(0)
				conn.Close()
			})
			for range calls {
				resp, err := c.Call(t.Context(), engine.CallRequest{Operation: "upload", Body: make([]byte, engine.MaxRequestBytes)})
				require.Error(t, err, "%q was returned as the answer", resp.Body)
				require.NotErrorIs(t, err, engine.ErrNotRun)
			}
		})
	}
}

// Guards against an answer without a length that is refused although its connection was
// closed in order after the whole request was sent.
func TestAnswerWithoutLengthIsComplete(t *testing.T) {
	c := startRawService(t, func(conn *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.Copy(io.Discard, request.Body)
		}
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe answer")
		}
		conn.Close()
	})
	for range 20 {
		resp, err := c.Call(t.Context(), engine.CallRequest{Operation: "upload", Body: make([]byte, engine.MaxRequestBytes)})
		require.NoError(t, err)
		require.Equal(t, "the answer", string(resp.Body))
	}
}

// Guards against an answer of a service in trouble that reaches the caller although its
// status is none.
func TestAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			c := startRawService(t, func(conn *net.TCPConn) {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Unknown\r\nContent-Length: 7\r\n\r\ntrouble")
				conn.Close()
			})
			resp, err := c.Call(t.Context(), engine.CallRequest{Operation: "bookings", Body: []byte("{}")})
			require.Error(t, err, "%q was returned as the answer", resp.Body)
			require.NotErrorIs(t, err, engine.ErrNotRun)
		})
	}
}
