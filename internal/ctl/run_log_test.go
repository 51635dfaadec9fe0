package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lines of one request that are lost, mixed with others or out of
// order when its attempts went through several processes.
func TestLogFollowsOneRequestOverFiles(t *testing.T) {
	a := writeFile(t, `cut off
{"time":"2026-05-26T00:25:38.2Z","request":"r1","system":"attempt","inputs":{"endpoint":"i-1","events":"3"},"message":"attempt ended: broken"}
{"time":"2026-05-26T00:25:38.1Z","request":"r2","message":"admitted"}
`)
	b := writeFile(t, `{"time":"2026-05-26T00:25:38.1Z","request":"r1","system":"intake","message":"admitted"}`)
	f := &fleet{}
	r := f.run(t, "log", "r1", a, b)
	require.Equal(t, ExitOK, r.code, r.err)
	require.Regexp(t, `(?s)admitted.*attempt ended: broken\s+endpoint=i-1 events=3`, r.out)
	require.NotContains(t, r.out, "r2")
	require.Equal(t, ExitFailed, f.run(t, "log", "r3", a, b).code)
	require.Equal(t, ExitFailed, f.run(t, "log", "r1", a+".missing").code)
}
