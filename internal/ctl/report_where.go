package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"laburnumroad.dev/laburnumroad/internal/traffic/whereapi"
)

// reportWhere reports what a gateway would do with a request.
func reportWhere(r *whereapi.Response) Outcome {
	var text strings.Builder
	fmt.Fprintf(&text, "router    %s\nroute     %s (%s, priority %d)\n", r.Router, orNone(r.Route), r.Kind, r.Priority)
	if r.Customer != "" {
		fmt.Fprintf(&text, "customer  %s\n", r.Customer)
	}
	if r.Service != "" {
		fmt.Fprintf(&text, "service   %s%s\n", r.Service, serviceShares(r.Services))
	}
	if r.Budget != nil {
		fmt.Fprintf(&text, "budget    %s\n", describeBudget(r.Budget))
	}
	fmt.Fprintf(&text, "decision  %s\n", describeDecision(&r.Decision, shareCount(r.Candidates)))
	out := Outcome{Text: text.String(), JSON: r}
	if len(r.Candidates) > 0 {
		out.Text += "\n"
		out.Tables = []Table{candidateTable(r.Candidates)}
	}
	return out
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// serviceShares lists the services of a route that has several.
func serviceShares(services []whereapi.Service) string {
	if len(services) < 2 {
		return ""
	}
	shares := make([]string, 0, len(services))
	for _, s := range services {
		shares = append(shares, s.Service+" "+percent(s.Share))
	}
	return " (at random: " + strings.Join(shares, ", ") + ")"
}

func describeBudget(b *whereapi.Budget) string {
	text := fmt.Sprintf("costs at most %d, %d available here", b.Cost, b.Available)
	if b.RemainingAtMost != nil && b.LedgerAgeMs != nil {
		text += fmt.Sprintf(", at most %d remain in all (ledger %s old)", *b.RemainingAtMost, formatMs(*b.LedgerAgeMs))
	}
	if b.Decision.Verdict == "sent" {
		return text + ": covered"
	}
	return text + ": " + describeDecision(&b.Decision, 0)
}

// describeDecision describes a decision. The endpoint is one of a number of equally good
// ones.
func describeDecision(d *whereapi.Decision, equal int) string {
	switch d.Verdict {
	case "refused":
		return describeRefusal(d)
	case "waits":
		text := "waits " + formatMs(d.WaitMs) + " at most"
		if d.WaitFor != "" {
			text += " for " + d.WaitFor
		}
		if d.Code != "" {
			text += "; if nothing changes, " + describeRefusal(d)
		}
		return text
	}
	text := d.Verdict
	if d.Endpoint != "" {
		text += " to " + d.Endpoint
	}
	if equal > 1 {
		text += fmt.Sprintf("; %d endpoints are equally good and take turns by their shares, in an order that begins at random", equal)
	}
	return text
}

func describeRefusal(d *whereapi.Decision) string {
	text := fmt.Sprintf("refused with %s: %s", d.Code, d.Reason)
	if d.RetryAfterMs > 0 {
		text += "; come back in " + formatMs(d.RetryAfterMs)
	}
	return text
}

// shareCount returns how many endpoints get requests like this one.
func shareCount(candidates []whereapi.Candidate) int {
	n := 0
	for _, c := range candidates {
		if c.Share != nil && *c.Share > 0 {
			n++
		}
	}
	return n
}

func candidateTable(candidates []whereapi.Candidate) Table {
	t := Table{Header: []string{"", "ENDPOINT", "DOMAIN", "COST", "SHARE", "PLACE", "RUNNING", "WAITING", "OWN", "SLOTS", "REPORT", "EXCLUDED"}}
	for _, c := range candidates {
		row := []string{"", c.Endpoint, c.Domain, "-", "-", orNone(c.Place), formatCount(c.Running), formatCount(c.Waiting), strconv.Itoa(c.Own), strconv.Itoa(c.Slots), "-", orNone(c.Excluded)}
		if c.Chosen {
			row[0] = "*"
		}
		if c.Cost != nil {
			row[3] = formatMs(*c.Cost)
		}
		if c.Share != nil {
			row[4] = percent(*c.Share)
		}
		if c.ReportAgeMs != nil {
			row[10] = formatMs(*c.ReportAgeMs)
		}
		if c.ExcludedForMs != nil {
			row[11] += " for " + formatMs(*c.ExcludedForMs)
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

func formatMs(ms float64) string       { return strconv.FormatFloat(ms, 'f', 1, 64) + "ms" }
func formatCount(count float64) string { return strconv.FormatFloat(count, 'f', 1, 64) }
func percent(share float64) string     { return strconv.FormatFloat(100*share, 'f', 1, 64) + "%" }
