package fleetconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

// validConfig is a small valid configuration.
var validConfig = fmt.Sprintf(`defaults:
  burst: 20
  default_deadline: 5s
services:
  - name: tutor
    kind: model
    default_max_output_tokens: 300
  - name: desk
    kind: plain
    operations:
      - name: bookings
        idempotent: false
        cost_tokens: 10
customers:
  - id: small
    keys: [%q]
    services: [tutor, desk]
  - id: large
    weight: 5
    keys: [%q]
    services: [tutor]
`, keyhash.Of("small"), keyhash.Of("large"))

// withExceptions returns validConfig with exceptions added.
func withExceptions(entries ...string) string {
	return validConfig + "exceptions:\n  - " + strings.Join(entries, "\n  - ") + "\n"
}

func mustLoad(t *testing.T, text string) *Config {
	c, findings := Load("fleet.yaml", text)
	require.NoError(t, findings.Err())
	return c
}

// Guards against values that are lost or read into the wrong field.
func TestValidConfigurationIsRead(t *testing.T) {
	c := mustLoad(t, validConfig)
	require.EqualValues(t, 20, c.Defaults.Burst)
	require.Equal(t, 0.25, c.Defaults.QuickSlotShare)
	require.Equal(t, Operation{Name: "bookings", CostTokens: 10}, *c.Service("desk").Operation("bookings"))
	require.True(t, c.Customer("small").Keys[0].Equal(keyhash.Of("small")))
	require.False(t, c.Customer("large").MayCall("desk"))

	l := c.Limits("large", "tutor")
	require.Equal(t, 5.0, l.Weight)
	require.EqualValues(t, 300, l.MaxOutputTokens)
	require.Equal(t, 5*time.Second, l.Deadline)
	require.Empty(t, l.Applied)
}

// Guards against validation that stops at the first problem or loses its position.
func TestEachErrorIsReportedWithItsPosition(t *testing.T) {
	cases := []struct{ text, want string }{
		{"", "f:1:1: is empty"},
		{"a: [", "f:1:4: is not valid YAML"},
		{"a: &x 1", "anchors and aliases are not supported"},
		{"services: []\n---\nservices: []", "f:3:1: is a second document"},
		{"services: 5", "f:1:11: services: must be a list"},
		{"defaults: {weight: .nan}", "f:1:20: defaults.weight: must be a number"},
		{"defaults:\n  burst: 1e9", "f:2:10: defaults.burst: must be an integer"},
		{"defaults:\n  burst: 99999999999999999999", "defaults.burst: must be"},
		{"defaults:\n  weight: -1", "f:2:11: defaults.weight: must be from 0.01 to 1000"},
		{"defaults:\n  grant_horizon: 60", "f:2:18: defaults.grant_horizon: must be a duration such as 1m30s"},
		{"defaults:\n  brust: 1", "f:2:3: defaults.brust: is not a known field"},
		{"defaults:\n  burst: 1\n  burst: 2", "f:3:3: defaults.burst: is a duplicate field"},
		{"services:\n  - kind: model", "f:2:5: services[0]: name is missing"},
		{"services:\n  - {name: a, kind: model}\n  - {name: a, kind: model}", "f:3:12: services[1].name: the service a is defined twice"},
		{"services:\n  - {name: A B, kind: model}", "services[0].name: must consist of"},
		{"services:\n  - {name: a, kind: plain}", "services[0]: a plain service needs at least one operation"},
		{"services:\n  - {name: a, kind: model, operations: []}", "a model cannot have operations"},
		{"customers:\n  - {id: a, keys: [], services: [x]}", "f:2:34: customers[0].services[0]: unknown service x"},
		{"customers:\n  - {id: a, keys: [\"sha256:12\"], services: []}", "f:2:20: customers[0].keys[0]: must be sha256:"},
		{"customers:\n  - {id: a, keys: [], services: []}\n  - {id: a, keys: [], services: []}", "f:3:10: customers[1].id: the customer a is defined twice"},
		{"exceptions:\n  - {customer: x, setting: burst, value: 1, reason: r}", "f:2:16: exceptions[0].customer: unknown customer x"},
	}
	for _, c := range cases {
		config, findings := Load("f", c.text)
		require.Nil(t, config, c.text)
		require.Contains(t, findings.Error(), c.want, c.text)
	}
	_, findings := Load("f", "defaults: {burst: 0, weight: 0, brust: 1}\nservices: 5\ncustomers: 5")
	require.Len(t, findings, 5, findings.Error())
}

// Guards against a key that belongs to two customers, so that either could be
// charged.
func TestKeyOfTwoCustomersIsRejected(t *testing.T) {
	text := strings.ReplaceAll(validConfig, keyhash.Of("large").String(), keyhash.Of("small").String())
	_, findings := Load("f", text)
	require.Contains(t, findings.Error(), "customers[1].keys[0]: this key already belongs to the customer small")
}

// Guards against exceptions without a reason or without an effect.
func TestInvalidExceptionsAreRejected(t *testing.T) {
	cases := []struct{ entry, want string }{
		{"{customer: large, setting: burst, value: 9}", "exceptions[0]: reason is missing"},
		{"{customer: large, setting: burst, value: 9, reason: ' '}", "exceptions[0].reason: must not be empty"},
		{"{setting: burst, value: 9, reason: r}", "must name a customer, a service or both"},
		{"{customer: large, setting: brust, value: 9, reason: r}", "unknown setting brust"},
		{"{customer: large, setting: burst, value: 0, reason: r}", "exceptions[0].value: must be from 1 to"},
		{"{customer: large, setting: burst, reason: r}", "exceptions[0]: value is missing"},
		{"{customer: large, setting: burst, value: 1, reason: r, until: tomorrow}", "exceptions[0].until: must be a date"},
		{"{customer: large, setting: burst, value: 1, reason: r, until: 2026-02-30}", "exceptions[0].until: must be a date"},
		{"{service: tutor, setting: burst, value: 1, reason: r}", "name only a customer"},
		{"{customer: large, setting: crash_limit, value: 1, reason: r}", "name only a service"},
	}
	for _, c := range cases {
		_, findings := Load("f", withExceptions(c.entry))
		require.Contains(t, findings.Error(), c.want, c.entry)
	}
}

// Guards against a list of exceptions that is too long to review.
func TestTooManyExceptionsAreRejected(t *testing.T) {
	entries := make([]string, MaxExceptions+1)
	for i := range entries {
		entries[i] = "{customer: large, setting: burst, value: 9, reason: r}"
	}
	_, findings := Load("f", withExceptions(entries...))
	require.Contains(t, findings.Error(), "exceptions: has 51 entries; at most 50 are allowed")
}

// Guards against limits that depend on the order of exceptions.
func TestAmbiguousExceptionsAreRejected(t *testing.T) {
	customer := "{customer: small, setting: quick_tokens, value: 100, reason: r}"
	service := "{service: tutor, setting: quick_tokens, value: 200, reason: r}"
	customerAndService := "{customer: small, service: tutor, setting: quick_tokens, value: 200, reason: r}"
	customerWithoutDesk := "{customer: large, setting: quick_tokens, value: 200, reason: r}"
	deskService := "{service: desk, setting: quick_tokens, value: 200, reason: r}"

	for _, entries := range [][]string{{customer, customer}, {customer, service}, {service, customer}, {customerAndService, customerAndService}} {
		_, findings := Load("f", withExceptions(entries...))
		require.Contains(t, findings.Error(), "exceptions[1]: is ambiguous with exceptions[0]")
	}
	for _, entries := range [][]string{{customer, customerAndService}, {customer, service, customerAndService}, {customerWithoutDesk, deskService}} {
		mustLoad(t, withExceptions(entries...))
	}
}

// Guards against an exception that applies outside its scope or loses its reason.
func TestExceptionsApplyOnlyInTheirScope(t *testing.T) {
	c := mustLoad(t, withExceptions(
		"{customer: small, setting: burst, value: 77, reason: exam week}",
		"{customer: small, setting: default_priority, value: 7, reason: lessons}",
		"{customer: small, service: tutor, setting: default_priority, value: 9, reason: live lessons}",
	))
	l := c.Limits("small", "tutor")
	require.EqualValues(t, 77, l.Burst)
	require.Equal(t, 9, l.Priority)
	require.Equal(t, []AppliedException{
		{SettingPriority, 2, "live lessons"},
		{SettingBurst, 0, "exam week"},
	}, l.Applied)
	require.Equal(t, 7, c.Limits("small", "desk").Priority)
	require.EqualValues(t, 20, c.Limits("large", "tutor").Burst)
	require.Empty(t, c.Limits("large", "tutor").Applied)
}

// Guards against an exception that remains in effect after its last day, or that
// ends before that day is over.
func TestExceptionEndsAfterItsLastDay(t *testing.T) {
	c := mustLoad(t, withExceptions("{customer: small, setting: burst, value: 77, reason: r, until: 2026-12-31}"))
	last := time.Date(2026, 12, 31, 23, 59, 59, 0, time.UTC)
	require.EqualValues(t, 77, c.LimitsAt("small", "tutor", last).Burst)
	require.EqualValues(t, 20, c.LimitsAt("small", "tutor", last.Add(time.Second)).Burst)
	require.EqualValues(t, 77, c.Limits("small", "tutor").Burst)
}

// Guards against input that exhausts memory, the stack or the parser's time.
func TestOversizedInputIsRejected(t *testing.T) {
	cases := []struct{ text, want string }{
		{strings.Repeat("# x\n", 300_000), "at most 1000000 are allowed"},
		{strings.Repeat("#\n", 30_000), "has 30001 lines"},
		{"a: " + strings.Repeat("x", 3000), "a line may have at most 2000"},
		{strings.Repeat("[", 1000), "is nested deeper than 16 levels"},
		{strings.Repeat("- ", 900), "is nested deeper than 16 levels"},
		{nestedMappings(40), "is nested deeper than 16 levels"},
		{"a: \xff", "is not valid UTF-8"},
	}
	for _, c := range cases {
		_, findings := Load("f", c.text)
		require.Contains(t, findings.Error(), c.want)
	}
}

// nestedMappings returns mappings nested to the given depth.
func nestedMappings(depth int) string {
	var b strings.Builder
	for i := range depth {
		fmt.Fprintf(&b, "%sa:\n", strings.Repeat(" ", i))
	}
	return b.String()
}

// Guards against positions outside the text, which editors cannot open.
func TestFindingPositionsAreInsideTheText(t *testing.T) {
	lines := strings.Split(withExceptions("{customer: small, setting: burst, value: 7, reason: r}"), "\n")
	rapid.Check(t, func(rt *rapid.T) {
		text := mutateLines(rt, lines)
		config, findings := Load("f", text)
		require.Equal(rt, config == nil, len(findings) > 0)
		checkPositions(rt, text, findings)
		if config != nil {
			checkLimits(rt, config)
		}
	})
}

// mutateLines randomly duplicates, clears and changes lines.
func mutateLines(rt *rapid.T, lines []string) string {
	out := append([]string{}, lines...)
	for range rapid.IntRange(1, 6).Draw(rt, "changes") {
		i := rapid.IntRange(0, len(out)-1).Draw(rt, "line")
		switch rapid.IntRange(0, 3).Draw(rt, "change") {
		case 0:
			out[i] = out[rapid.IntRange(0, len(out)-1).Draw(rt, "from")]
		case 1:
			out[i] = ""
		case 2:
			out[i] += rapid.SampledFrom([]string{":", "x", "\"", "]", "0", "9", " #", "é", "\t", "- a: b"}).Draw(rt, "suffix")
		case 3:
			out[i] = rapid.SampledFrom([]string{" ", "  ", "- "}).Draw(rt, "prefix") + out[i]
		}
	}
	return strings.Join(out, "\n")
}
