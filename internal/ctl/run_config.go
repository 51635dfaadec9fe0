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

func runValidate(_ context.Context, _ *invocation, _ *commandFlags, args []string) Outcome {
	text, err := readFile(args[0])
	if err != nil {
		return failure(err)
	}
	c, findings := fleetconfig.Load(args[0], text)
	if len(findings) > 0 {
		return findingsOutcome(findings)
	}
	return reportValid(args[0], c)
}

func runApply(ctx context.Context, inv *invocation, flags *commandFlags, args []string) Outcome {
	text, err := readFile(args[0])
	if err != nil {
		return failure(err)
	}
	if _, findings := fleetconfig.Load(args[0], text); len(findings) > 0 {
		return findingsOutcome(findings)
	}
	client, err := inv.operatorClient()
	if err != nil {
		return failure(err)
	}
	expected := flags.expectedGeneration
	if expected == expectCurrentGeneration {
		current, err := callUnary(ctx, client.GetConfig, &v1.GetConfigRequest{})
		if err != nil {
			return errorOutcome(err)
		}
		expected = current.GetGeneration()
	}
	m, err := callUnary(ctx, client.ApplyConfig, &v1.ApplyConfigRequest{Yaml: text, ExpectedGeneration: expected, File: args[0]})
	if err != nil {
		return errorOutcome(err)
	}
	return reportApplied(m)
}

func runDiff(ctx context.Context, inv *invocation, _ *commandFlags, args []string) Outcome {
	text, err := readFile(args[0])
	if err != nil {
		return failure(err)
	}
	return inv.withConfig(ctx, func(m *v1.GetConfigResponse) Outcome { return reportDiff(m, text) })
}

func runGet(ctx context.Context, inv *invocation, _ *commandFlags, args []string) Outcome {
	if args[0] != "config" {
		return usageError("get config")
	}
	return inv.withConfig(ctx, reportConfig)
}

func runExceptions(ctx context.Context, inv *invocation, _ *commandFlags, _ []string) Outcome {
	return inv.withConfig(ctx, func(m *v1.GetConfigResponse) Outcome {
		c, findings := fleetconfig.Load("current configuration", m.GetYaml())
		if len(findings) > 0 {
			return findingsOutcome(findings)
		}
		return reportExceptions(c, inv.now())
	})
}

// withConfig fetches the current configuration and returns its report.
func (inv *invocation) withConfig(ctx context.Context, report func(*v1.GetConfigResponse) Outcome) Outcome {
	client, err := inv.operatorClient()
	if err != nil {
		return failure(err)
	}
	m, err := callUnary(ctx, client.GetConfig, &v1.GetConfigRequest{})
	if err != nil {
		return errorOutcome(err)
	}
	return report(m)
}

func runCustomer(ctx context.Context, inv *invocation, flags *commandFlags, args []string) Outcome {
	switch {
	case args[0] == "create" && len(args) == 2:
		return inv.createCustomer(ctx, flags, args[1])
	case args[0] == "topup" && len(args) == 3:
		return inv.topUp(ctx, flags, args[1], args[2])
	}
	return usageError("customer create CUSTOMER -services A,B [-weight W], or customer topup CUSTOMER[/BUDGET] AMOUNT [-id ID]")
}

func (inv *invocation) createCustomer(ctx context.Context, flags *commandFlags, customer string) Outcome {
	services := splitList(flags.services)
	if len(services) == 0 {
		return usageError("customer create requires -services with at least one name")
	}
	client, err := inv.operatorClient()
	if err != nil {
		return failure(err)
	}
	current, err := callUnary(ctx, client.GetConfig, &v1.GetConfigRequest{})
	if err != nil {
		return errorOutcome(err)
	}
	key := randomToken()
	newCustomer := fleetconfig.Customer{ID: customer, Weight: flags.weight, Keys: []keyhash.Hash{keyhash.Of(key)}, Services: services}
	text, err := fleetconfig.AddCustomer(current.GetYaml(), newCustomer)
	if err != nil {
		return failure(err)
	}
	request := &v1.ApplyConfigRequest{Yaml: text, ExpectedGeneration: current.GetGeneration(), File: "configuration with " + customer}
	generation, err := applyNewCustomer(ctx, client, request, newCustomer)
	if err != nil {
		return errorOutcome(err)
	}
	return reportNewCustomer(customer, key, generation)
}

// applyNewCustomer applies a configuration with a new customer and returns its
// generation. If the response is lost, it looks for the customer's new key in the
// current configuration; otherwise the customer could exist with a key that was
// never printed.
func applyNewCustomer(ctx context.Context, client laburnumroadv1connect.OperatorServiceClient, request *v1.ApplyConfigRequest, customer fleetconfig.Customer) (int64, error) {
	applied, err := callUnary(ctx, client.ApplyConfig, request)
	if err == nil {
		return applied.GetGeneration(), nil
	}
	if isRejection(err) {
		return 0, err
	}
	current, readErr := callUnary(ctx, client.GetConfig, &v1.GetConfigRequest{})
	if readErr != nil || !hasCustomerWithKey(current.GetYaml(), customer) {
		return 0, err
	}
	return current.GetGeneration(), nil
}

// hasCustomerWithKey reports whether a configuration contains the customer with its key.
func hasCustomerWithKey(text string, customer fleetconfig.Customer) bool {
	c, findings := fleetconfig.Load("current configuration", text)
	if len(findings) > 0 {
		return false
	}
	stored := c.Customer(customer.ID)
	return stored != nil && len(stored.Keys) == 1 && stored.Keys[0].Equal(customer.Keys[0])
}

func (inv *invocation) topUp(ctx context.Context, flags *commandFlags, target, amountText string) Outcome {
	amount, err := parseAmount(amountText)
	if err != nil {
		return usageError("%s", err)
	}
	client, err := inv.operatorClient()
	if err != nil {
		return failure(err)
	}
	customer, budget := splitBudgetTarget(target)
	id := flags.topUpID
	if id == "" {
		id = randomToken()
	}
	m, err := callUnary(ctx, client.TopUp, &v1.TopUpRequest{Customer: customer, Budget: budget, Amount: amount, Id: id})
	if err != nil {
		return reportTopUpError(id, err)
	}
	return reportTopUp(customer+"/"+budget, m)
}

// defaultBudget is the name of the budget if none is given.
const defaultBudget = "default"

func splitBudgetTarget(target string) (customer, budget string) {
	customer, budget, _ = strings.Cut(target, "/")
	if budget == "" {
		budget = defaultBudget
	}
	return customer, budget
}

func parseAmount(text string) (int64, error) {
	amount, err := strconv.ParseInt(text, 10, 64)
	if err != nil || amount <= 0 {
		return 0, errors.Errorf("AMOUNT must be a positive integer (tokens), not %q", text)
	}
	return amount, nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
