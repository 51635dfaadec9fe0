package fleetconfig

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

var (
	customersKeyPattern = regexp.MustCompile(`^customers:\s*(\[\s*\]\s*)?(#.*)?$`)
	entryPattern        = regexp.MustCompile(`^( *)- `)
)

// AddCustomer returns the configuration text with a customer appended. It edits
// the text instead of re-encoding the configuration, so that comments and the
// order of fields are preserved.
func AddCustomer(text string, customer Customer) (string, error) {
	current, findings := Load("current configuration", text)
	if err := findings.Err(); err != nil {
		return "", errors.WithMessage(err, "the current configuration is invalid")
	}
	if current.Customer(customer.ID) != nil {
		return "", errors.Errorf("customer %s already exists", customer.ID)
	}
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	start := slices.IndexFunc(lines, customersKeyPattern.MatchString)
	if start < 0 {
		return "", errors.New("the configuration has no customers section in block style; edit it by hand")
	}
	lines[start] = "customers:" + strings.TrimSuffix(" "+customersKeyPattern.FindStringSubmatch(lines[start])[2], " ")
	end, indent := customersEnd(lines, start)
	lines = slices.Insert(lines, end, formatCustomer(customer, indent)...)
	edited := strings.Join(lines, "\n") + "\n"
	return edited, verifyEdit(current, edited, customer)
}

// customersEnd returns the index of the line after the last customer and the
// indentation of the list entries.
func customersEnd(lines []string, start int) (end int, indent string) {
	end, indent = start+1, "  "
	first := true
	for i := start + 1; i < len(lines); i++ {
		trimmed := strings.TrimSpace(lines[i])
		if trimmed == "" || strings.HasPrefix(trimmed, "#") {
			continue
		}
		if !strings.HasPrefix(lines[i], " ") && !strings.HasPrefix(lines[i], "- ") {
			break
		}
		if match := entryPattern.FindStringSubmatch(lines[i]); first && match != nil {
			indent, first = match[1], false
		}
		end = i + 1
	}
	return end, indent
}

// formatCustomer returns the YAML lines of a customer.
func formatCustomer(customer Customer, indent string) []string {
	lines := []string{indent + "- id: " + customer.ID}
	if customer.Weight != 0 {
		lines = append(lines, fmt.Sprintf("%s  weight: %v", indent, customer.Weight))
	}
	keys := make([]string, 0, len(customer.Keys))
	for _, k := range customer.Keys {
		keys = append(keys, fmt.Sprintf("%q", k))
	}
	return append(lines,
		fmt.Sprintf("%s  keys: [%s]", indent, strings.Join(keys, ", ")),
		fmt.Sprintf("%s  services: [%s]", indent, strings.Join(customer.Services, ", ")))
}

// verifyEdit checks that the edited text is valid and holds exactly one customer
// more than the current configuration, the new one.
func verifyEdit(current *Config, edited string, customer Customer) error {
	updated, findings := Load("edited configuration", edited)
	if err := findings.Err(); err != nil {
		return err
	}
	if len(updated.Customers) != len(current.Customers)+1 || updated.Customer(customer.ID) == nil {
		return errors.New("the customers section cannot be extended; edit it by hand")
	}
	return nil
}
