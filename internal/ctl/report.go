package ctl

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
)

// validJSON summarizes a valid configuration.
type validJSON struct {
	File       string `json:"file"`
	Services   int    `json:"services"`
	Customers  int    `json:"customers"`
	Exceptions int    `json:"exceptions"`
}

func reportValid(file string, c *fleetconfig.Config) Outcome {
	j := validJSON{file, len(c.Services), len(c.Customers), len(c.Exceptions)}
	return Outcome{
		Text: fmt.Sprintf("%s: no findings; %d services, %d customers, %d exceptions\n", j.File, j.Services, j.Customers, j.Exceptions),
		JSON: j,
	}
}

func reportApplied(m *v1.ApplyConfigResponse) Outcome {
	return Outcome{Text: fmt.Sprintf("accepted as generation %d\n", m.GetGeneration()), JSON: m}
}

func reportConfig(m *v1.GetConfigResponse) Outcome {
	return Outcome{Text: m.GetYaml(), JSON: m, Message: fmt.Sprintf("generation %d", m.GetGeneration())}
}

// diffJSON holds the changes from the current configuration to a file.
type diffJSON struct {
	Generation int64  `json:"generation"`
	Diff       string `json:"diff"`
}

func reportDiff(m *v1.GetConfigResponse, text string) Outcome {
	diff := fleetconfig.Diff(m.GetYaml(), text)
	out := Outcome{Text: diff, JSON: diffJSON{m.GetGeneration(), diff}}
	if diff == "" {
		out.Text = fmt.Sprintf("no difference from generation %d\n", m.GetGeneration())
	}
	return out
}

func reportBudgets(m *v1.ListBudgetsResponse) Outcome {
	t := Table{Header: []string{"BUDGET", "DEPOSITED", "SETTLED", "WITHHELD", "GRANTED", "SPENT UNSETTLED", "UNGRANTED", "HOLDERS"}}
	for _, b := range m.GetBudgets() {
		ungranted := b.GetDeposited() - b.GetSettled() - b.GetWithheld() - b.GetGranted()
		t.Rows = append(t.Rows, []string{
			b.GetId(), formatInt(b.GetDeposited()), formatInt(b.GetSettled()), formatInt(b.GetWithheld()), formatInt(b.GetGranted()),
			formatInt(b.GetSpentUnsettled()), formatInt(ungranted), strconv.Itoa(len(b.GetGrants())),
		})
	}
	return Outcome{Tables: []Table{t}, JSON: m}
}

func reportTopUp(budget string, m *v1.TopUpResponse) Outcome {
	return Outcome{
		Text: fmt.Sprintf("top-up %s applied: %s has %d deposited, %d settled\n", m.GetId(), budget, m.GetDeposited(), m.GetSettled()),
		JSON: m,
	}
}

// reportTopUpError includes the id if the outcome of the top-up is unknown,
// because a repetition with another id could be applied a second time.
func reportTopUpError(id string, err error) Outcome {
	out := errorOutcome(err)
	if isRejection(err) {
		return out
	}
	out.Message += "\nit is unknown whether the top-up was applied; repeat it with -id " + id
	out.JSON = topUpFailureJSON{Reason: err.Error(), RepeatWithID: id}
	return out
}

type topUpFailureJSON struct {
	Reason       string `json:"reason"`
	RepeatWithID string `json:"repeat_with_id"`
}

// newCustomerJSON is the JSON output for a new customer.
type newCustomerJSON struct {
	Customer   string `json:"customer"`
	Key        string `json:"key"`
	Generation int64  `json:"generation"`
}

func reportNewCustomer(customer, key string, generation int64) Outcome {
	return Outcome{
		Text:    fmt.Sprintf("customer %s created in generation %d\nkey: %s\n", customer, generation, key),
		Message: "the key is not stored and is not shown again",
		JSON:    newCustomerJSON{customer, key, generation},
	}
}

// exceptionJSON is the JSON output for an exception.
type exceptionJSON struct {
	Index    int    `json:"index"`
	Customer string `json:"customer,omitempty"`
	Service  string `json:"service,omitempty"`
	Setting  string `json:"setting"`
	Value    string `json:"value"`
	Until    string `json:"until,omitempty"`
	Ended    bool   `json:"ended"`
	Reason   string `json:"reason"`
}

func reportExceptions(c *fleetconfig.Config, now time.Time) Outcome {
	t := Table{Header: []string{"INDEX", "CUSTOMER", "SERVICE", "SETTING", "VALUE", "UNTIL", "STATE", "REASON"}}
	list := []exceptionJSON{}
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		j := exceptionJSON{
			Index: i, Customer: e.Customer, Service: e.Service, Setting: string(e.Setting), Value: e.Value,
			Until: lastDay(e.Until), Ended: !e.ActiveAt(now), Reason: e.Reason,
		}
		list = append(list, j)
		t.Rows = append(t.Rows, []string{
			strconv.Itoa(i), orAll(j.Customer), orAll(j.Service), j.Setting, j.Value, orDash(j.Until), exceptionState(j.Ended), j.Reason,
		})
	}
	return Outcome{Tables: []Table{t}, JSON: list}
}

func exceptionState(ended bool) string {
	if ended {
		return "ended"
	}
	return "in force"
}

// lastDay returns the last day of an exception that ends at until, or an empty
// string if it has no end.
func lastDay(until time.Time) string {
	if until.IsZero() {
		return ""
	}
	return until.AddDate(0, 0, -1).Format(time.DateOnly)
}

func reportDrain(target string, undo bool, m *v1.DrainResponse) Outcome {
	text := fmt.Sprintf("%s is marked as leaving\n", target)
	if undo {
		text = fmt.Sprintf("%s is no longer marked as leaving\n", target)
	}
	return Outcome{Text: text, JSON: m}
}

func reportStatus(m *v1.StatusResponse) Outcome {
	return Outcome{Text: statusText(m), Tables: []Table{processTable(m), endpointTable(m)}, JSON: m}
}

func statusText(m *v1.StatusResponse) string {
	platform := "unreachable"
	if m.GetPlatformReachable() {
		platform = "reachable"
	}
	duration := time.Duration(m.GetPlatformSinceSeconds()) * time.Second
	lines := []string{
		"answered by: " + m.GetAnsweredBy(),
		"generation: " + formatInt(m.GetGeneration()),
		fmt.Sprintf("platform: %s for %s", platform, duration),
		"quarantined: " + orDash(strings.Join(m.GetQuarantined(), ", ")),
		"short budgets: " + orDash(strings.Join(m.GetShortBudgets(), ", ")),
	}
	return strings.Join(lines, "\n") + "\n"
}

func processTable(m *v1.StatusResponse) Table {
	t := Table{Header: []string{"PROCESS", "ROLE", "DOMAIN", "STATE", "GENERATION", "LAGGING", "LAST HEARD"}}
	for _, p := range m.GetProcesses() {
		t.Rows = append(t.Rows, []string{
			p.GetId(), p.GetRole(), p.GetDomain(), p.GetState(), formatInt(p.GetGeneration()),
			strconv.FormatBool(p.GetLagging()), (time.Duration(p.GetLastHeardMs()) * time.Millisecond).String(),
		})
	}
	return t
}

func endpointTable(m *v1.StatusResponse) Table {
	t := Table{Header: []string{"ENDPOINT", "SERVICE", "AGENT", "STATE", "IN FLIGHT", "SLOTS", "FIRST TOKEN MS", "TOKEN MS", "REASON"}}
	for _, e := range m.GetEndpoints() {
		t.Rows = append(t.Rows, []string{
			e.GetId(), e.GetService(), e.GetAgent(), e.GetState(), formatInt(e.GetInFlight()), formatInt(e.GetSlots()),
			formatFloat(e.GetFirstTokenMs()), formatFloat(e.GetTokenMs()), orDash(e.GetReason()),
		})
	}
	return t
}

func reportExplain(m *v1.ExplainResponse) Outcome {
	if !m.GetFound() {
		return Outcome{
			Exit:    ExitFailed,
			Message: fmt.Sprintf("no decisions are recorded for request %s", m.GetRequestId()),
			JSON:    m,
		}
	}
	t := Table{Header: []string{"AT MS", "PROCESS", "SYSTEM", "DECISION", "INPUTS"}}
	for _, s := range m.GetSteps() {
		t.Rows = append(t.Rows, []string{formatInt(s.GetAtMs()), s.GetProcess(), s.GetSystem(), s.GetDecision(), formatStepInputs(s.GetInputs())})
	}
	return Outcome{Tables: []Table{t}, JSON: m}
}

func formatStepInputs(inputs map[string]string) string {
	parts := make([]string, 0, len(inputs))
	for _, name := range slices.Sorted(maps.Keys(inputs)) {
		parts = append(parts, name+"="+inputs[name])
	}
	return strings.Join(parts, " ")
}

func reportCall(m *v1.CallResponse) Outcome {
	message := fmt.Sprintf("request %s, key %s, charged %d", m.GetRequestId(), m.GetIdempotencyKey(), m.GetCharged())
	if m.GetReplayed() {
		message += ", replayed from an earlier run"
	}
	return Outcome{Text: string(m.GetBody()) + "\n", Message: message, JSON: m}
}

func reportIssuedKey(m *v1.IssueKeyResponse) Outcome {
	valid := time.Duration(m.GetValidSeconds()) * time.Second
	return Outcome{Text: m.GetIdempotencyKey() + "\n", Message: "valid for " + valid.String(), JSON: m}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func orAll(text string) string {
	if text == "" {
		return "all"
	}
	return text
}
