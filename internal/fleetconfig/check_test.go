package fleetconfig

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/finding"
)

func checkPlaces(t require.TestingT, text string, found finding.List) {
	lines := 1 + strings.Count(text, "\n")
	for _, f := range found {
		require.Equal(t, "f", f.File)
		require.GreaterOrEqual(t, f.Line, 1)
		require.LessOrEqual(t, f.Line, lines)
		require.GreaterOrEqual(t, f.Column, 1)
		require.NotEmpty(t, f.Message)
	}
}

// checkLimits compares the limits of all customers and services with the valid ranges.
func checkLimits(t require.TestingT, c *Config) {
	for i := range c.Customers {
		for j := range c.Services {
			checkRanges(t, c.Limits(c.Customers[i].ID, c.Services[j].Name))
		}
	}
	checkRanges(t, c.Limits("", ""))
}

func checkRanges(t require.TestingT, l Limits) {
	inRange(t, float64(l.Priority), MinPriority, MaxPriority)
	inRange(t, float64(l.Deadline), float64(MinDeadline), float64(MaxDeadline))
	inRange(t, float64(l.MaxOutputTokens), 1, MaxOutputTokensLimit)
	inRange(t, l.RequestsPerSecond, MinRequestsPerSecond, MaxRequestsPerSecond)
	inRange(t, float64(l.Burst), 1, MaxBurst)
	inRange(t, float64(l.Concurrency), 1, MaxConcurrency)
	inRange(t, l.Weight, MinWeight, MaxWeight)
	inRange(t, float64(l.QuickTokens), 0, MaxQuickTokens)
	inRange(t, l.QuickShare, 0, MaxQuickShare)
	inRange(t, l.RetryBudget, 0, MaxRetryBudget)
	inRange(t, float64(l.RetryBurst), 0, MaxRetryBurst)
	inRange(t, l.EjectionFactor, MinEjectionFactor, MaxEjectionFactor)
	inRange(t, l.CrashLimit, MinCrashLimit, MaxCrashLimit)
	inRange(t, float64(l.GrantHorizon), float64(MinGrantHorizon), float64(MaxGrantHorizon))
}

func inRange(t require.TestingT, v, min, max float64) {
	require.False(t, math.IsNaN(v))
	require.GreaterOrEqual(t, v, min)
	require.LessOrEqual(t, v, max)
}

// Guards against an accepted exception with a value that is out of range, or
// that changes another setting.
func TestLimitsStayInRange(t *testing.T) {
	values := []string{"0", "-1", "0.5", "1", "3", "1e300", ".inf", ".nan", "99999999999", "1ns", "1m", "9000h", "true", "x", "{}", "[]", "0x10", "~"}
	rapid.Check(t, func(rt *rapid.T) {
		s := rapid.SampledFrom(settings).Draw(rt, "setting")
		target := rapid.SampledFrom([]string{"customer: small", "service: tutor", "customer: small, service: tutor"}).Draw(rt, "target")
		value := rapid.SampledFrom(values).Draw(rt, "value")
		text := exceptions("{" + target + ", setting: " + string(s.name) + ", value: " + value + ", reason: r}")
		c, found := Load("f", text)
		if c == nil {
			checkPlaces(rt, text, found)
			return
		}
		checkLimits(rt, c)
		got, want := c.Limits("small", "tutor"), mustLoadValid(rt).Limits("small", "tutor")
		require.Len(rt, got.Applied, 1)
		require.Equal(rt, s.name, got.Applied[0].Setting)
		got.Applied = nil
		s.copy(&got, &want)
		require.Equal(rt, want, got)
	})
}

func mustLoadValid(t require.TestingT) *Config {
	c, found := Load("f", valid)
	require.NoError(t, found.Err())
	return c
}

// Guards against a row of the table that reads one field and copies another.
func TestSettingsCoverTheirOwnField(t *testing.T) {
	var all, zero Limits
	all = builtIn
	for _, s := range settings {
		s.copy(&all, &zero)
	}
	require.Equal(t, zero, all)
	checkRanges(t, builtIn)
	require.Equal(t, 60*time.Second, builtIn.GrantHorizon)
}

// FuzzLoad guards against a panic, a place outside the text, and accepted
// values out of range.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{
		"", valid, exceptions("{customer: small, setting: burst, value: 7, reason: r}"),
		"a: [", "- - - a", "&a [*a]", "? {a: b}\n: c", "a: |\n  b\n", "a: 'x", "%YAML 1.2\n---\n", "{a: b}}", "a: !!int x",
		"<<: {a: b}", "services:\n- name: 1\n  kind: plain\n  operations: {}\n", "\t", "a:\r\n  b: \"\\x\"", "...", "a: .nan", "-\n -\n  -",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, found := Load("f", text)
		require.Equal(t, c == nil, len(found) > 0)
		checkPlaces(t, text, found)
		if c != nil {
			checkLimits(t, c)
		}
	})
}
