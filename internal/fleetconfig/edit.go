package fleetconfig

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

var (
	customersLine = regexp.MustCompile(`^customers:\s*(\[\s*\]\s*)?(#.*)?$`)
	entryIndent   = regexp.MustCompile(`^( *)- `)
)

// AddCustomer returns the configuration text with one more customer. It edits
// the text rather than encoding the configuration again, so that comments and
// the order of fields stay as the operators wrote them.
func AddCustomer(text string, row Customer) (string, error) {
	before, found := Load("current configuration", text)
	if err := found.Err(); err != nil {
		return "", errors.WithMessage(err, "the current configuration has findings")
	}
	if before.Customer(row.ID) != nil {
		return "", errors.Errorf("the customer %s exists already", row.ID)
	}
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	start := slices.IndexFunc(lines, customersLine.MatchString)
	if start < 0 {
		return "", errors.New("the configuration has no customers section in block style; edit it by hand")
	}
	lines[start] = "customers:" + strings.TrimSuffix(" "+customersLine.FindStringSubmatch(lines[start])[2], " ")
	end, indent := customersEnd(lines, start)
	lines = slices.Insert(lines, end, customerLines(row, indent)...)
	edited := strings.Join(lines, "\n") + "\n"
	return edited, checkEdit(before, edited, row)
}

// customersEnd returns the position behind the last customer and the
// indentation of the entries.
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
		if match := entryIndent.FindStringSubmatch(lines[i]); first && match != nil {
			indent, first = match[1], false
		}
		end = i + 1
	}
	return end, indent
}

func customerLines(row Customer, indent string) []string {
	lines := []string{indent + "- id: " + row.ID}
	if row.Weight != 0 {
		lines = append(lines, fmt.Sprintf("%s  weight: %v", indent, row.Weight))
	}
	keys := make([]string, 0, len(row.Keys))
	for _, k := range row.Keys {
		keys = append(keys, fmt.Sprintf("%q", k))
	}
	return append(lines,
		fmt.Sprintf("%s  keys: [%s]", indent, strings.Join(keys, ", ")),
		fmt.Sprintf("%s  services: [%s]", indent, strings.Join(row.Services, ", ")))
}

// checkEdit verifies that the edited text differs from the earlier
// configuration by exactly the new customer.
func checkEdit(before *Config, edited string, row Customer) error {
	after, found := Load("edited configuration", edited)
	if err := found.Err(); err != nil {
		return err
	}
	if len(after.Customers) != len(before.Customers)+1 || after.Customer(row.ID) == nil {
		return errors.New("the customers section cannot be extended; edit it by hand")
	}
	return nil
}
