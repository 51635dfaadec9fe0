package loadtool

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/gen/laburnumroad/v1/laburnumroadv1connect"
)

// Fleet is what is put on the platform before a run of load.
type Fleet struct {
	// Operator is the base URL of an operator API, Key its key.
	Operator, Key string
	// Config is the fleet configuration.
	Config string
	// Customer gets Amount on each of Budgets.
	Customer string
	Budgets  []string
	Amount   int64
}

// Prepare applies the configuration and tops the budgets up. Its top-up ids are
// fixed, so that a repeat changes nothing.
func Prepare(ctx context.Context, f *Fleet) error {
	client := laburnumroadv1connect.NewOperatorServiceClient(http.DefaultClient, f.Operator)
	current, err := client.GetConfig(ctx, withKey(f.Key, &pb.GetConfigRequest{}))
	if err != nil {
		return errors.Wrap(err, "read the configuration")
	}
	if current.Msg.Yaml != f.Config {
		_, err = client.ApplyConfig(ctx, withKey(f.Key, &pb.ApplyConfigRequest{
			Yaml: f.Config, ExpectedGeneration: current.Msg.Generation, File: "fleet.yaml",
		}))
		if err != nil {
			return errors.Wrap(err, "apply the configuration")
		}
	}
	for _, b := range f.Budgets {
		_, err := client.TopUp(ctx, withKey(f.Key, &pb.TopUpRequest{
			Customer: f.Customer, Budget: b, Amount: f.Amount, Id: "load-" + b,
		}))
		if err != nil {
			return errors.Wrapf(err, "top up %s", b)
		}
	}
	return nil
}

// Ready returns an error until a router enforces a configuration and has a live
// session with as many agents as expected.
func Ready(ctx context.Context, f *Fleet, agents int) error {
	client := laburnumroadv1connect.NewOperatorServiceClient(http.DefaultClient, f.Operator)
	status, err := client.Status(ctx, withKey(f.Key, &pb.StatusRequest{}))
	if err != nil {
		return errors.Wrap(err, "read the status")
	}
	live := 0
	for _, p := range status.Msg.Processes {
		if p.Role == "agent" && p.State == "live" {
			live++
		}
	}
	if live < agents || status.Msg.Generation == 0 {
		return fmt.Errorf("%d of %d agents are live, generation %d", live, agents, status.Msg.Generation)
	}
	return nil
}
