package daemon

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// newFleetConfig converts a validated configuration into the table rows of the
// control thread. Exceptions are applied as of now.
func newFleetConfig(config *fleetconfig.Config, generation table.Generation, text string, now time.Time) table.FleetConfig {
	fleet := table.FleetConfig{
		Generation:      generation,
		YAML:            text,
		Defaults:        newFleetDefaults(config.Defaults),
		Limits:          make(map[table.LimitsKey]table.Limits),
		ServiceDefaults: make(map[table.ServiceName]table.FleetDefaults),
	}
	for i := range config.Services {
		service := newService(&config.Services[i])
		fleet.Services = append(fleet.Services, service)
		fleet.ServiceDefaults[service.Name] = newFleetDefaults(config.LimitsAt("", config.Services[i].Name, now))
	}
	for i := range config.Customers {
		fleet.Customers = append(fleet.Customers, newCustomer(&config.Customers[i], config, now))
		for _, service := range config.Customers[i].Services {
			key := table.LimitsKey{Customer: table.CustomerID(config.Customers[i].ID), Service: table.ServiceName(service)}
			fleet.Limits[key] = newLimits(config.LimitsAt(config.Customers[i].ID, service, now))
		}
	}
	return fleet
}

func newFleetDefaults(limits fleetconfig.Limits) table.FleetDefaults {
	return table.FleetDefaults{
		RetryRatio: limits.RetryBudget, RetryBurst: float64(limits.RetryBurst),
		EjectionFactor: limits.EjectionFactor, CrashLimit: limits.CrashLimit,
	}
}

func newService(service *fleetconfig.Service) table.Service {
	row := table.Service{Name: table.ServiceName(service.Name), Kind: table.ServiceModel}
	if service.Kind == fleetconfig.KindPlain {
		row.Kind = table.ServicePlain
	}
	row.Operations = make(map[string]table.Operation, len(service.Operations))
	for _, operation := range service.Operations {
		row.Operations[operation.Name] = table.Operation{Idempotent: operation.Idempotent, Cost: table.Tokens(operation.CostTokens)}
	}
	return row
}

func newCustomer(customer *fleetconfig.Customer, config *fleetconfig.Config, now time.Time) table.Customer {
	limits := config.LimitsAt(customer.ID, "", now)
	row := table.Customer{ID: table.CustomerID(customer.ID), Weight: limits.Weight, GrantHorizon: limits.GrantHorizon}
	for _, k := range customer.Keys {
		row.KeyHashes = append(row.KeyHashes, table.KeyHash(k))
	}
	for _, service := range customer.Services {
		row.Services = append(row.Services, table.ServiceName(service))
	}
	return row
}

func newLimits(limits fleetconfig.Limits) table.Limits {
	row := table.Limits{
		RequestsPerSecond: limits.RequestsPerSecond, Burst: int(limits.Burst), Concurrency: int(limits.Concurrency),
		Priority: limits.Priority, MaxOutput: table.Tokens(limits.MaxOutputTokens), FirstTokenDeadline: limits.Deadline,
		QuickTokens: table.Tokens(limits.QuickTokens), QuickSlotShare: limits.QuickSlotShare,
	}
	for _, exception := range limits.Applied {
		row.Exceptions = append(row.Exceptions, table.AppliedException{Setting: string(exception.Setting), Reason: exception.Reason})
	}
	return row
}
