package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/traffic/engine"
)

func serve(t *testing.T, h http.HandlerFunc) *engine.Client {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return engine.New(server.URL, engine.Options{HTTP: server.Client()})
}

// stream returns a client of an engine that sends text and then runs end.
func stream(t *testing.T, text string, end func()) *engine.Client {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		end()
	})
}

func abort() { panic(http.ErrAbortHandler) }

var request = engine.GenerateRequest{Prompt: "p", MaxTotalTokens: 11, MaxOutputTokens: 10}

// readAll reads a stream to its error or to Done.
func readAll(t *testing.T, c *engine.Client) (string, error) {
	s, err := c.Generate(t.Context(), request)
	require.NoError(t, err)
	defer s.Close()
	var text strings.Builder
	for {
		d, err := s.Next()
		if err != nil {
			_, again := s.Next()
			require.Equal(t, err, again, "an error is final")
			return text.String(), err
		}
		text.WriteString(d.Text)
		if d.Done {
			return text.String(), nil
		}
	}
}

const (
	oneToken = `{"tokens":1,"text":"a"}` + "\n"
	doneOne  = `{"done":true,"prompt_tokens":1,"output_tokens":1}` + "\n"
)

// Guards against a truncated stream that looks whole, however it ends.
func TestTruncatedStreamIsNotWhole(t *testing.T) {
	cases := map[string]struct {
		text string
		end  func()
		down bool
	}{
		"clean end":              {text: oneToken, end: func() {}},
		"clean end, no text":     {text: "", end: func() {}},
		"lost connection":        {text: oneToken, end: abort, down: true},
		"lost in a line":         {text: oneToken + `{"done":tr`, end: abort, down: true},
		"cut line":               {text: oneToken + `{"done":tr`, end: func() {}},
		"end counts more tokens": {text: oneToken + `{"done":true,"output_tokens":2}` + "\n", end: func() {}},
		"end counts less tokens": {text: oneToken + oneToken + doneOne, end: func() {}},
		"error line":             {text: oneToken + `{"error":"out of memory"}` + "\n" + doneOne, end: func() {}},
		"negative count":         {text: `{"tokens":-1}` + "\n" + doneOne, end: func() {}},
		"over the token limit":   {text: `{"tokens":11}` + "\n" + `{"done":true,"output_tokens":11}` + "\n", end: func() {}},
		"line too long":          {text: `{"text":"` + strings.Repeat("a", 300<<10) + `"}` + "\n" + doneOne, end: func() {}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(t, stream(t, tc.text, tc.end))
			require.ErrorIs(t, err, engine.ErrTruncated)
			require.NotErrorIs(t, err, engine.ErrNotRun)
			require.NotErrorIs(t, err, io.EOF)
			require.Equal(t, tc.down, isDown(err))
		})
	}
}

func isDown(err error) bool {
	return errors.Is(err, engine.ErrDown)
}

// Guards against an endless stream of lines without tokens, which passes the
// token limit.
func TestEndlessStreamIsCut(t *testing.T) {
	line := []byte(`{"text":"` + strings.Repeat("a", 200<<10) + `"}` + "\n")
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for r.Context().Err() == nil {
			_, _ = w.Write(line)
		}
	})
	s, err := c.Generate(t.Context(), request)
	require.NoError(t, err)
	for err == nil {
		_, err = s.Next()
	}
	require.ErrorIs(t, err, engine.ErrTruncated)
}

// Guards against a whole answer that is refused, and against reads behind its
// end.
func TestWholeStream(t *testing.T) {
	text, err := readAll(t, stream(t, oneToken+doneOne+oneToken, func() {}))
	require.NoError(t, err)
	require.Equal(t, "a", text)
}

// Guards against io.EOF behind the end, which a caller could take for the end
// of another, truncated answer.
func TestNextAfterDoneIsNotEOF(t *testing.T) {
	s, err := stream(t, oneToken+doneOne, func() {}).Generate(t.Context(), request)
	require.NoError(t, err)
	for range 2 {
		_, err = s.Next()
		require.NoError(t, err)
	}
	_, err = s.Next()
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
}

// Guards against a run that goes on at the engine after its caller gave up.
func TestCancelReachesEngine(t *testing.T) {
	for _, how := range []string{"cancel", "close"} {
		t.Run(how, func(t *testing.T) {
			left := make(chan struct{})
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, oneToken)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				close(left)
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s, err := c.Generate(ctx, request)
			require.NoError(t, err)
			_, err = s.Next()
			require.NoError(t, err)
			if how == "close" {
				s.Close()
				<-left
				return
			}
			cancel()
			_, err = s.Next()
			require.ErrorIs(t, err, engine.ErrTruncated)
			require.ErrorIs(t, err, context.Canceled)
			require.False(t, isDown(err), "the engine did not fail")
			<-left
		})
	}
}

// Guards against work that counts as "not run" although it may have run, and
// against the reverse.
func TestAnswerHeads(t *testing.T) {
	head := func(status int, refusal string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if refusal != "" {
				w.Header().Set("Refusal", refusal)
			}
			w.WriteHeader(status)
		}
	}
	cases := []struct {
		name           string
		answer         http.HandlerFunc
		generate, call error
	}{
		{"stated refusal", head(http.StatusServiceUnavailable, "not_run"), engine.ErrNotRun, engine.ErrNotRun},
		{"prompt too long", head(http.StatusBadRequest, "prompt_too_long"), engine.ErrPromptTooLong, engine.ErrPromptTooLong},
		{"503 without statement", head(http.StatusServiceUnavailable, ""), engine.ErrDown, engine.ErrDown},
		{"502 without statement", head(http.StatusBadGateway, ""), engine.ErrDown, engine.ErrDown},
		{"error of the service", head(http.StatusInternalServerError, ""), engine.ErrDown, nil},
		{"lost connection", func(http.ResponseWriter, *http.Request) { abort() }, engine.ErrDown, engine.ErrDown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := serve(t, tc.answer)
			_, err := c.Generate(t.Context(), request)
			requireOnly(t, err, tc.generate)
			_, err = c.Call(t.Context(), engine.CallRequest{Operation: "book", Key: "k"})
			requireOnly(t, err, tc.call)
		})
	}
}

// requireOnly checks that err matches want and no other error of the package.
func requireOnly(t *testing.T, err, want error) {
	if want == nil {
		require.NoError(t, err)
		return
	}
	for _, e := range []error{engine.ErrNotRun, engine.ErrTruncated, engine.ErrDown, engine.ErrPromptTooLong} {
		if e == want {
			require.ErrorIs(t, err, e)
			continue
		}
		require.NotErrorIs(t, err, e)
	}
}

// Guards against a refused connection that leaves the outcome open.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	c := engine.New(server.URL, engine.Options{})
	_, err := c.Generate(t.Context(), request)
	require.ErrorIs(t, err, engine.ErrNotRun)
	require.ErrorIs(t, err, engine.ErrDown)
	_, err = c.Call(t.Context(), engine.CallRequest{Operation: "book", Key: "k"})
	require.ErrorIs(t, err, engine.ErrNotRun)
}

// Guards against a call that is given up after it was sent and counts as not
// run.
func TestCancelledCallMayHaveRun(t *testing.T) {
	arrived := make(chan struct{})
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := c.Call(ctx, engine.CallRequest{Operation: "book", Key: "k"})
	requireOnly(t, err, engine.ErrTruncated)

	_, err = c.Call(ctx, engine.CallRequest{Operation: "book", Key: "k"})
	requireOnly(t, err, engine.ErrNotRun)
}

// Guards against a non-idempotent call that the transport sends again when a
// kept connection breaks, or through a redirect.
func TestCallIsSentOnce(t *testing.T) {
	for _, how := range []string{"lost connection", "redirect"} {
		t.Run(how, func(t *testing.T) {
			var runs atomic.Int64
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if strings.HasSuffix(r.URL.Path, "/warm-up") {
					return
				}
				runs.Add(1)
				if how == "redirect" {
					http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
					return
				}
				abort()
			})
			for range 20 {
				_, err := c.Call(t.Context(), engine.CallRequest{Operation: "warm-up"})
				require.NoError(t, err)
				before := runs.Load()
				_, _ = c.Call(t.Context(), engine.CallRequest{Operation: "book", Key: "k", Body: []byte("b")})
				require.Equal(t, before+1, runs.Load())
			}
		})
	}
}

// Guards against keys that differ but look equal to the service.
func TestKeysAreKeptExactly(t *testing.T) {
	var got atomic.Value
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) { got.Store(r.Header.Get("Request-Key")) })
	seen := map[string]string{}
	for _, key := range []string{"a", " a", "a ", "a\n", "a+", "a%20", "ä", strings.Repeat("k", 1000)} {
		_, err := c.Call(t.Context(), engine.CallRequest{Operation: "book", Key: key})
		require.NoError(t, err)
		sent, ok := got.Load().(string)
		require.True(t, ok)
		require.Empty(t, seen[sent], "two keys are sent alike")
		seen[sent] = key
	}
}

// Guards against an answer without bound, and against one that looks whole
// although it was cut.
func TestCallAnswerIsBoundedAndWhole(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"too long": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20+1)) },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "abc")
			_ = http.NewResponseController(w).Flush()
			abort()
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, answer).Call(t.Context(), engine.CallRequest{Operation: "book"})
			require.ErrorIs(t, err, engine.ErrTruncated)
			require.NotErrorIs(t, err, engine.ErrNotRun)
			require.Equal(t, name == "cut", isDown(err))
		})
	}
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) })
	got, err := c.Call(t.Context(), engine.CallRequest{Operation: "book"})
	require.NoError(t, err)
	require.Len(t, got.Body, 1<<20)
}

// Guards against a request that is too large and still reaches the engine.
func TestOversizedRequestIsNotRun(t *testing.T) {
	c := serve(t, func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	_, err := c.Generate(t.Context(), engine.GenerateRequest{Prompt: strings.Repeat("a", engine.MaxRequestBytes)})
	requireOnly(t, err, engine.ErrNotRun)
	_, err = c.Call(t.Context(), engine.CallRequest{Operation: "x", Body: make([]byte, engine.MaxRequestBytes+1)})
	requireOnly(t, err, engine.ErrNotRun)
}

// Guards against a broken load report that reads as an idle engine.
func TestBrokenLoadReportIsAnError(t *testing.T) {
	for _, body := range []string{"", "[]", `{"active":1`, `{"queued":-1}`, fmt.Sprintf(`{"active":1,"x":%q}`, strings.Repeat("a", 70_000))} {
		c := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		_, err := c.Load(t.Context())
		require.ErrorIs(t, err, engine.ErrDown)
	}
}
