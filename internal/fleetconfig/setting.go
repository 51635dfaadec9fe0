package fleetconfig

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/yamlread"
)

// Setting names a value that has a fleet default and may have exceptions.
type Setting string

// Settings, with their names in the YAML text.
const (
	SettingPriority          Setting = "default_priority"
	SettingDeadline          Setting = "default_deadline"
	SettingMaxOutputTokens   Setting = "default_max_output_tokens"
	SettingRequestsPerSecond Setting = "requests_per_second"
	SettingBurst             Setting = "burst"
	SettingConcurrency       Setting = "concurrency"
	SettingWeight            Setting = "weight"
	SettingQuickTokens       Setting = "quick_tokens"
	SettingQuickShare        Setting = "quick_share"
	SettingRetryBudget       Setting = "retry_budget"
	SettingRetryBurst        Setting = "retry_burst"
	SettingEjectionFactor    Setting = "ejection_factor"
	SettingCrashLimit        Setting = "crash_limit"
	SettingGrantHorizon      Setting = "grant_horizon"
)

// Valid ranges of the settings.
const (
	MinPriority          = 1 // lowest
	MaxPriority          = 9
	MinDeadline          = 10 * time.Millisecond
	MaxDeadline          = 24 * time.Hour
	MaxOutputTokensLimit = 1_000_000 // tokens
	MinRequestsPerSecond = 0.01      // requests/s
	MaxRequestsPerSecond = 100_000   // requests/s
	MaxBurst             = 1_000_000 // requests
	MaxConcurrency       = 1_000_000 // requests
	MinWeight            = 0.01
	MaxWeight            = 1000
	MaxQuickTokens       = 1_000_000 // tokens
	MaxQuickShare        = 0.9       // a higher share would starve long work
	MaxRetryBudget       = 1         // retries per request
	MaxRetryBurst        = 10_000    // retries
	MinEjectionFactor    = 1.1       // a lower factor ejects endpoints for noise
	MaxEjectionFactor    = 100
	MinCrashLimit        = 0.5 // endpoint deaths
	MaxCrashLimit        = 100 // endpoint deaths
	MinGrantHorizon      = time.Second
	MaxGrantHorizon      = time.Hour
)

// builtIn holds the values of settings that the configuration leaves out.
var builtIn = Limits{
	Priority:          5,
	Deadline:          30 * time.Second,
	MaxOutputTokens:   1024, // tokens
	RequestsPerSecond: 50,   // requests/s
	Burst:             100,  // requests
	Concurrency:       100,  // requests
	Weight:            1,
	QuickTokens:       512, // tokens
	QuickShare:        0.25,
	RetryBudget:       0.1, // retries per request
	RetryBurst:        10,  // retries
	EjectionFactor:    3,
	CrashLimit:        2, // endpoint deaths
	GrantHorizon:      60 * time.Second,
}

// scope says what an exception for a setting may name.
type scope uint8

const (
	// scopeCustomer is for settings of a customer over all services.
	scopeCustomer scope = iota + 1
	// scopeService is for settings of a service over all customers.
	scopeService
	// scopeAny is for settings of single requests.
	scopeAny
)

// setting is one row of the table of settings.
type setting struct {
	name  Setting
	scope scope
	// read sets the field of l from v, and keeps the field if v is absent or faulty.
	read func(l *Limits, v yamlread.Value)
	// copy sets the field of to from the one of from.
	copy func(to, from *Limits)
}

// settings is the table of all settings.
var settings = []setting{
	newSetting(SettingPriority, scopeAny, priorityRange, func(l *Limits) *int { return &l.Priority }),
	newSetting(SettingDeadline, scopeAny, durations(MinDeadline, MaxDeadline), func(l *Limits) *time.Duration { return &l.Deadline }),
	newSetting(SettingMaxOutputTokens, scopeAny, integers(1, MaxOutputTokensLimit), func(l *Limits) *int64 { return &l.MaxOutputTokens }),
	newSetting(SettingRequestsPerSecond, scopeCustomer, floats(MinRequestsPerSecond, MaxRequestsPerSecond), func(l *Limits) *float64 { return &l.RequestsPerSecond }),
	newSetting(SettingBurst, scopeCustomer, integers(1, MaxBurst), func(l *Limits) *int64 { return &l.Burst }),
	newSetting(SettingConcurrency, scopeCustomer, integers(1, MaxConcurrency), func(l *Limits) *int64 { return &l.Concurrency }),
	newSetting(SettingWeight, scopeCustomer, floats(MinWeight, MaxWeight), func(l *Limits) *float64 { return &l.Weight }),
	newSetting(SettingQuickTokens, scopeAny, integers(0, MaxQuickTokens), func(l *Limits) *int64 { return &l.QuickTokens }),
	newSetting(SettingQuickShare, scopeService, floats(0, MaxQuickShare), func(l *Limits) *float64 { return &l.QuickShare }),
	newSetting(SettingRetryBudget, scopeService, floats(0, MaxRetryBudget), func(l *Limits) *float64 { return &l.RetryBudget }),
	newSetting(SettingRetryBurst, scopeService, integers(0, MaxRetryBurst), func(l *Limits) *int64 { return &l.RetryBurst }),
	newSetting(SettingEjectionFactor, scopeService, floats(MinEjectionFactor, MaxEjectionFactor), func(l *Limits) *float64 { return &l.EjectionFactor }),
	newSetting(SettingCrashLimit, scopeService, floats(MinCrashLimit, MaxCrashLimit), func(l *Limits) *float64 { return &l.CrashLimit }),
	newSetting(SettingGrantHorizon, scopeCustomer, durations(MinGrantHorizon, MaxGrantHorizon), func(l *Limits) *time.Duration { return &l.GrantHorizon }),
}

// reader reads a value, or returns the fallback if it is absent or faulty.
type reader[T any] func(v yamlread.Value, fallback T) T

func newSetting[T any](name Setting, s scope, read reader[T], field func(*Limits) *T) setting {
	return setting{
		name:  name,
		scope: s,
		read:  func(l *Limits, v yamlread.Value) { *field(l) = read(v, *field(l)) },
		copy:  func(to, from *Limits) { *field(to) = *field(from) },
	}
}

func integers(min, max int64) reader[int64] {
	return func(v yamlread.Value, fallback int64) int64 { return v.Int(min, max, fallback) }
}

func floats(min, max float64) reader[float64] {
	return func(v yamlread.Value, fallback float64) float64 { return v.Float(min, max, fallback) }
}

func durations(min, max time.Duration) reader[time.Duration] {
	return func(v yamlread.Value, fallback time.Duration) time.Duration { return v.Duration(min, max, fallback) }
}

func priorityRange(v yamlread.Value, fallback int) int {
	return int(v.Int(MinPriority, MaxPriority, int64(fallback)))
}

// findSetting returns the row of a setting, or nil.
func findSetting(name Setting) *setting {
	for i := range settings {
		if settings[i].name == name {
			return &settings[i]
		}
	}
	return nil
}
