package ctl

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	v1 "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

func runValidate(_ context.Context, _ *session, _ *inputs, args []string) Outcome {
	text, err := readFile(args[0])
	if err != nil {
		return failed(err)
	}
	c, found := fleetconfig.Load(args[0], text)
	if len(found) > 0 {
		return findings(found)
	}
	return reportValid(args[0], c)
}

func runApply(ctx context.Context, s *session, in *inputs, args []string) Outcome {
	text, err := readFile(args[0])
	if err != nil {
		return failed(err)
	}
	if _, found := fleetconfig.Load(args[0], text); len(found) > 0 {
		return findings(found)
	}
	client, err := s.operator()
	if err != nil {
		return failed(err)
	}
	expected := in.expect
	if expected == expectCurrent {
		current, err := call(ctx, client.GetConfig, &v1.GetConfigRequest{})
		if err != nil {
			return refusedBy(err)
		}
		expected = current.GetGeneration()
	}
	m, err := call(ctx, client.ApplyConfig, &v1.ApplyConfigRequest{Yaml: text, ExpectedGeneration: expected, File: args[0]})
	if err != nil {
		return refusedBy(err)
	}
	return reportApplied(m)
}

func runDiff(ctx context.Context, s *session, _ *inputs, args []string) Outcome {
	text, err := readFile(args[0])
	if err != nil {
		return failed(err)
	}
	return s.withConfig(ctx, func(m *v1.GetConfigResponse) Outcome { return reportDiff(m, text) })
}

func runGet(ctx context.Context, s *session, _ *inputs, args []string) Outcome {
	if args[0] != "config" {
		return usage("get config")
	}
	return s.withConfig(ctx, reportConfig)
}

func runExceptions(ctx context.Context, s *session, _ *inputs, _ []string) Outcome {
	return s.withConfig(ctx, func(m *v1.GetConfigResponse) Outcome {
		c, found := fleetconfig.Load("current configuration", m.GetYaml())
		if len(found) > 0 {
			return findings(found)
		}
		return reportExceptions(c, s.now())
	})
}

// withConfig fetches the current configuration and decides on it.
func (s *session) withConfig(ctx context.Context, decide func(*v1.GetConfigResponse) Outcome) Outcome {
	client, err := s.operator()
	if err != nil {
		return failed(err)
	}
	m, err := call(ctx, client.GetConfig, &v1.GetConfigRequest{})
	if err != nil {
		return refusedBy(err)
	}
	return decide(m)
}

func runCustomer(ctx context.Context, s *session, in *inputs, args []string) Outcome {
	switch {
	case args[0] == "create" && len(args) == 2:
		return s.createCustomer(ctx, in, args[1])
	case args[0] == "topup" && len(args) == 3:
		return s.topUp(ctx, in, args[1], args[2])
	}
	return usage("customer create CUSTOMER -services A,B [-weight W], or customer topup CUSTOMER[/BUDGET] AMOUNT [-id ID]")
}

func (s *session) createCustomer(ctx context.Context, in *inputs, customer string) Outcome {
	services := splitList(in.services)
	if len(services) == 0 {
		return usage("customer create needs -services with at least one name")
	}
	client, err := s.operator()
	if err != nil {
		return failed(err)
	}
	current, err := call(ctx, client.GetConfig, &v1.GetConfigRequest{})
	if err != nil {
		return refusedBy(err)
	}
	key := randomText()
	row := fleetconfig.Customer{ID: customer, Weight: in.weight, Keys: []keyhash.Hash{keyhash.Of(key)}, Services: services}
	text, err := fleetconfig.AddCustomer(current.GetYaml(), row)
	if err != nil {
		return failed(err)
	}
	request := &v1.ApplyConfigRequest{Yaml: text, ExpectedGeneration: current.GetGeneration(), File: "configuration with " + customer}
	generation, err := applyOnce(ctx, client, request, row)
	if err != nil {
		return refusedBy(err)
	}
	return reportNewCustomer(customer, key, generation)
}

// applyOnce applies a configuration with a new customer. If the answer is
// lost, it looks for the customer's new key in the current configuration:
// without this, the customer would exist with a key that nobody knows.
func applyOnce(ctx context.Context, client laburnumroadv1connect.OperatorServiceClient, m *v1.ApplyConfigRequest, row fleetconfig.Customer) (int64, error) {
	applied, err := call(ctx, client.ApplyConfig, m)
	if err == nil {
		return applied.GetGeneration(), nil
	}
	if definite(err) {
		return 0, err
	}
	current, readErr := call(ctx, client.GetConfig, &v1.GetConfigRequest{})
	if readErr != nil || !hasCustomerKey(current.GetYaml(), row) {
		return 0, err
	}
	return current.GetGeneration(), nil
}

// hasCustomerKey reports whether a configuration holds the customer with its key.
func hasCustomerKey(text string, row fleetconfig.Customer) bool {
	c, found := fleetconfig.Load("current configuration", text)
	if len(found) > 0 {
		return false
	}
	stored := c.Customer(row.ID)
	return stored != nil && len(stored.Keys) == 1 && stored.Keys[0].Equal(row.Keys[0])
}

func (s *session) topUp(ctx context.Context, in *inputs, target, amountText string) Outcome {
	amount, err := parseAmount(amountText)
	if err != nil {
		return usage("%s", err)
	}
	client, err := s.operator()
	if err != nil {
		return failed(err)
	}
	customer, budget := splitBudget(target)
	id := in.id
	if id == "" {
		id = randomText()
	}
	m, err := call(ctx, client.TopUp, &v1.TopUpRequest{Customer: customer, Budget: budget, Amount: amount, Id: id})
	if err != nil {
		return reportTopUpError(id, err)
	}
	return reportTopUp(customer+"/"+budget, m)
}

// defaultBudget is the budget that is meant when none is named.
const defaultBudget = "default"

func splitBudget(target string) (customer, budget string) {
	customer, budget, _ = strings.Cut(target, "/")
	if budget == "" {
		budget = defaultBudget
	}
	return customer, budget
}

func parseAmount(text string) (int64, error) {
	amount, err := strconv.ParseInt(text, 10, 64)
	if err != nil || amount <= 0 {
		return 0, errors.Errorf("AMOUNT must be a positive whole number of tokens, not %q", text)
	}
	return amount, nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
