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

// checkPositions checks that all findings have a message and a position in the text.
func checkPositions(t require.TestingT, text string, findings finding.List) {
	lines := 1 + strings.Count(text, "\n")
	for _, f := range findings {
		require.Equal(t, "f", f.File)
		require.GreaterOrEqual(t, f.Line, 1)
		require.LessOrEqual(t, f.Line, lines)
		require.GreaterOrEqual(t, f.Column, 1)
		require.NotEmpty(t, f.Message)
	}
}

// checkLimits checks that the limits of all customers and services are in range.
func checkLimits(t require.TestingT, c *Config) {
	for i := range c.Customers {
		for j := range c.Services {
			checkRanges(t, c.Limits(c.Customers[i].ID, c.Services[j].Name))
		}
	}
	checkRanges(t, c.Limits("", ""))
}

func checkRanges(t require.TestingT, l Limits) {
	requireInRange(t, float64(l.Priority), MinPriority, MaxPriority)
	requireInRange(t, float64(l.Deadline), float64(MinDeadline), float64(MaxDeadline))
	requireInRange(t, float64(l.MaxOutputTokens), 1, MaxOutputTokensLimit)
	requireInRange(t, l.RequestsPerSecond, MinRequestsPerSecond, MaxRequestsPerSecond)
	requireInRange(t, float64(l.Burst), 1, MaxBurst)
	requireInRange(t, float64(l.Concurrency), 1, MaxConcurrency)
	requireInRange(t, l.Weight, MinWeight, MaxWeight)
	requireInRange(t, float64(l.QuickTokens), 0, MaxQuickTokens)
	requireInRange(t, l.QuickSlotShare, 0, MaxQuickSlotShare)
	requireInRange(t, l.RetryBudget, 0, MaxRetryBudget)
	requireInRange(t, float64(l.RetryBurst), 0, MaxRetryBurst)
	requireInRange(t, l.EjectionFactor, MinEjectionFactor, MaxEjectionFactor)
	requireInRange(t, l.CrashLimit, MinCrashLimit, MaxCrashLimit)
	requireInRange(t, float64(l.GrantHorizon), float64(MinGrantHorizon), float64(MaxGrantHorizon))
}

func requireInRange(t require.TestingT, value, min, max float64) {
	require.False(t, math.IsNaN(value))
	require.GreaterOrEqual(t, value, min)
	require.LessOrEqual(t, value, max)
}

// Guards against accepting an exception whose value is out of range, or that
// changes another setting.
func TestLimitsStayInRange(t *testing.T) {
	values := []string{"0", "-1", "0.5", "1", "3", "1e300", ".inf", ".nan", "99999999999", "1ns", "1m", "9000h", "true", "x", "{}", "[]", "0x10", "~"}
	rapid.Check(t, func(rt *rapid.T) {
		def := rapid.SampledFrom(settings).Draw(rt, "setting")
		target := rapid.SampledFrom([]string{"customer: small", "service: tutor", "customer: small, service: tutor"}).Draw(rt, "target")
		value := rapid.SampledFrom(values).Draw(rt, "value")
		text := withExceptions("{" + target + ", setting: " + string(def.name) + ", value: " + value + ", reason: r}")
		c, findings := Load("f", text)
		if c == nil {
			checkPositions(rt, text, findings)
			return
		}
		checkLimits(rt, c)
		got, want := c.Limits("small", "tutor"), mustLoadValidConfig(rt).Limits("small", "tutor")
		require.Len(rt, got.Applied, 1)
		require.Equal(rt, def.name, got.Applied[0].Setting)
		got.Applied = nil
		def.copy(&got, &want)
		require.Equal(rt, want, got)
	})
}

func mustLoadValidConfig(t require.TestingT) *Config {
	c, findings := Load("f", validConfig)
	require.NoError(t, findings.Err())
	return c
}

// Guards against a definition that reads one field and copies another.
func TestSettingsCopyTheirOwnField(t *testing.T) {
	var all, zero Limits
	all = builtInDefaults
	for _, def := range settings {
		def.copy(&all, &zero)
	}
	require.Equal(t, zero, all)
	checkRanges(t, builtInDefaults)
	require.Equal(t, 60*time.Second, builtInDefaults.GrantHorizon)
}

// FuzzLoad guards against panics, positions outside the text, and accepted
// values that are out of range.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{
		"", validConfig, withExceptions("{customer: small, setting: burst, value: 7, reason: r}"),
		"a: [", "- - - a", "&a [*a]", "? {a: b}\n: c", "a: |\n  b\n", "a: 'x", "%YAML 1.2\n---\n", "{a: b}}", "a: !!int x",
		"<<: {a: b}", "services:\n- name: 1\n  kind: plain\n  operations: {}\n", "\t", "a:\r\n  b: \"\\x\"", "...", "a: .nan", "-\n -\n  -",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, findings := Load("f", text)
		require.Equal(t, c == nil, len(findings) > 0)
		checkPositions(t, text, findings)
		if c != nil {
			checkLimits(t, c)
		}
	})
}
