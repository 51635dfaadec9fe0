package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against log lines of a request that are lost, mixed with those of others or
// out of order when its attempts went through several processes.
func TestLogTracesRequestThroughFiles(t *testing.T) {
	a := writeFile(t, `cut off
{"time":"2026-05-26T00:25:38.2Z","request":"r1","system":"attempt","inputs":{"endpoint":"i-1","events":"3"},"message":"attempt ended: broken"}
{"time":"2026-05-26T00:25:38.1Z","request":"r2","message":"admitted"}
`)
	b := writeFile(t, `{"time":"2026-05-26T00:25:38.1Z","request":"r1","system":"intake","message":"admitted"}`)
	server := &fakeServer{}
	r := server.run(t, "log", "r1", a, b)
	require.Equal(t, ExitOK, r.code, r.stderr)
	require.Regexp(t, `(?s)admitted.*attempt ended: broken\s+endpoint=i-1 events=3`, r.stdout)
	require.NotContains(t, r.stdout, "r2")
	require.Equal(t, ExitFailed, server.run(t, "log", "r3", a, b).code)
	require.Equal(t, ExitFailed, server.run(t, "log", "r1", a+".missing").code)
}
