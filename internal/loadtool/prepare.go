package loadtool

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
)

// FleetSetup describes the configuration and the budgets that a load test needs.
type FleetSetup struct {
	// OperatorURL is the base URL of an operator API, APIKey its key.
	OperatorURL, APIKey string
	// Config is the fleet configuration as YAML.
	Config string
	// TopUpAmount is added to each of Budgets of Customer.
	Customer    string
	Budgets     []string
	TopUpAmount int64
}

// Prepare applies the configuration and tops up the budgets. The top-up ids are fixed,
// so repeated calls are idempotent.
func Prepare(ctx context.Context, f *FleetSetup) error {
	client := laburnumroadv1connect.NewOperatorServiceClient(http.DefaultClient, f.OperatorURL)
	current, err := client.GetConfig(ctx, withAPIKey(f.APIKey, &pb.GetConfigRequest{}))
	if err != nil {
		return errors.Wrap(err, "read the configuration")
	}
	if current.Msg.Yaml != f.Config {
		_, err = client.ApplyConfig(ctx, withAPIKey(f.APIKey, &pb.ApplyConfigRequest{
			Yaml: f.Config, ExpectedGeneration: current.Msg.Generation, File: "fleet.yaml",
		}))
		if err != nil {
			return errors.Wrap(err, "apply the configuration")
		}
	}
	for _, b := range f.Budgets {
		_, err := client.TopUp(ctx, withAPIKey(f.APIKey, &pb.TopUpRequest{
			Customer: f.Customer, Budget: b, Amount: f.TopUpAmount, Id: "load-" + b,
		}))
		if err != nil {
			return errors.Wrapf(err, "top up %s", b)
		}
	}
	return nil
}

// CheckReady returns an error unless the router at OperatorURL has a configuration and
// reports at least minAgents agents as live.
func CheckReady(ctx context.Context, f *FleetSetup, minAgents int) error {
	client := laburnumroadv1connect.NewOperatorServiceClient(http.DefaultClient, f.OperatorURL)
	status, err := client.Status(ctx, withAPIKey(f.APIKey, &pb.StatusRequest{}))
	if err != nil {
		return errors.Wrap(err, "read the status")
	}
	live := 0
	for _, p := range status.Msg.Processes {
		if p.Role == "agent" && p.State == "live" {
			live++
		}
	}
	if live < minAgents || status.Msg.Generation == 0 {
		return fmt.Errorf("%d of %d agents are live, generation %d", live, minAgents, status.Msg.Generation)
	}
	return nil
}
