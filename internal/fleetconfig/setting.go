package fleetconfig

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/yamlread"
)

// Setting is the name of a value that has a fleet default and may have exceptions.
type Setting string

// Settings, by their names in the configuration.
const (
	SettingPriority          Setting = "default_priority"
	SettingDeadline          Setting = "default_deadline"
	SettingMaxOutputTokens   Setting = "default_max_output_tokens"
	SettingRequestsPerSecond Setting = "requests_per_second"
	SettingBurst             Setting = "burst"
	SettingConcurrency       Setting = "concurrency"
	SettingWeight            Setting = "weight"
	SettingQuickTokens       Setting = "quick_tokens"
	SettingQuickSlotShare    Setting = "quick_share"
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
	MaxQuickSlotShare    = 0.9       // a higher share would starve long requests
	MaxRetryBudget       = 1         // retries per request
	MaxRetryBurst        = 10_000    // retries
	MinEjectionFactor    = 1.1       // a lower factor ejects endpoints because of noise
	MaxEjectionFactor    = 100
	MinCrashLimit        = 0.5 // endpoint crashes
	MaxCrashLimit        = 100 // endpoint crashes
	MinGrantHorizon      = time.Second
	MaxGrantHorizon      = time.Hour
)

// builtInDefaults holds the values of settings that the configuration omits.
var builtInDefaults = Limits{
	Priority:          5,
	Deadline:          30 * time.Second,
	MaxOutputTokens:   1024, // tokens
	RequestsPerSecond: 50,   // requests/s
	Burst:             100,  // requests
	Concurrency:       100,  // requests
	Weight:            1,
	QuickTokens:       512, // tokens
	QuickSlotShare:    0.25,
	RetryBudget:       0.1, // retries per request
	RetryBurst:        10,  // retries
	EjectionFactor:    3,
	CrashLimit:        2, // endpoint crashes
	GrantHorizon:      60 * time.Second,
}

// scope determines whether an exception for a setting may name a customer, a
// service or both.
type scope uint8

const (
	// scopeCustomer is for settings of a customer across all services.
	scopeCustomer scope = iota + 1
	// scopeService is for settings of a service across all customers.
	scopeService
	// scopeAny is for settings of individual requests.
	scopeAny
)

// settingDef defines how a setting is read and copied, and its scope.
type settingDef struct {
	name  Setting
	scope scope
	// read sets the setting's field of l from v. An absent or invalid v leaves it
	// unchanged.
	read func(l *Limits, v yamlread.Value)
	// copy copies the setting's field.
	copy func(to, from *Limits)
}

// settings defines all settings. Limits.Applied is in this order.
var settings = []settingDef{
	defineSetting(SettingPriority, scopeAny, readPriority, func(l *Limits) *int { return &l.Priority }),
	defineSetting(SettingDeadline, scopeAny, durationRange(MinDeadline, MaxDeadline), func(l *Limits) *time.Duration { return &l.Deadline }),
	defineSetting(SettingMaxOutputTokens, scopeAny, intRange(1, MaxOutputTokensLimit), func(l *Limits) *int64 { return &l.MaxOutputTokens }),
	defineSetting(SettingRequestsPerSecond, scopeCustomer, floatRange(MinRequestsPerSecond, MaxRequestsPerSecond), func(l *Limits) *float64 { return &l.RequestsPerSecond }),
	defineSetting(SettingBurst, scopeCustomer, intRange(1, MaxBurst), func(l *Limits) *int64 { return &l.Burst }),
	defineSetting(SettingConcurrency, scopeCustomer, intRange(1, MaxConcurrency), func(l *Limits) *int64 { return &l.Concurrency }),
	defineSetting(SettingWeight, scopeCustomer, floatRange(MinWeight, MaxWeight), func(l *Limits) *float64 { return &l.Weight }),
	defineSetting(SettingQuickTokens, scopeAny, intRange(0, MaxQuickTokens), func(l *Limits) *int64 { return &l.QuickTokens }),
	defineSetting(SettingQuickSlotShare, scopeService, floatRange(0, MaxQuickSlotShare), func(l *Limits) *float64 { return &l.QuickSlotShare }),
	defineSetting(SettingRetryBudget, scopeService, floatRange(0, MaxRetryBudget), func(l *Limits) *float64 { return &l.RetryBudget }),
	defineSetting(SettingRetryBurst, scopeService, intRange(0, MaxRetryBurst), func(l *Limits) *int64 { return &l.RetryBurst }),
	defineSetting(SettingEjectionFactor, scopeService, floatRange(MinEjectionFactor, MaxEjectionFactor), func(l *Limits) *float64 { return &l.EjectionFactor }),
	defineSetting(SettingCrashLimit, scopeService, floatRange(MinCrashLimit, MaxCrashLimit), func(l *Limits) *float64 { return &l.CrashLimit }),
	defineSetting(SettingGrantHorizon, scopeCustomer, durationRange(MinGrantHorizon, MaxGrantHorizon), func(l *Limits) *time.Duration { return &l.GrantHorizon }),
}

// readFunc reads a value, or returns the fallback if it is absent or invalid.
type readFunc[T any] func(v yamlread.Value, fallback T) T

// defineSetting returns the definition of a setting with values of type T. The
// function field returns a pointer to the setting's field of Limits.
func defineSetting[T any](name Setting, s scope, read readFunc[T], field func(*Limits) *T) settingDef {
	return settingDef{
		name:  name,
		scope: s,
		read:  func(l *Limits, v yamlread.Value) { *field(l) = read(v, *field(l)) },
		copy:  func(to, from *Limits) { *field(to) = *field(from) },
	}
}

func intRange(min, max int64) readFunc[int64] {
	return func(v yamlread.Value, fallback int64) int64 { return v.Int(min, max, fallback) }
}

func floatRange(min, max float64) readFunc[float64] {
	return func(v yamlread.Value, fallback float64) float64 { return v.Float(min, max, fallback) }
}

func durationRange(min, max time.Duration) readFunc[time.Duration] {
	return func(v yamlread.Value, fallback time.Duration) time.Duration { return v.Duration(min, max, fallback) }
}

func readPriority(v yamlread.Value, fallback int) int {
	return int(v.Int(MinPriority, MaxPriority, int64(fallback)))
}

// findSettingDef returns the definition of a setting, or nil.
func findSettingDef(name Setting) *settingDef {
	for i := range settings {
		if settings[i].name == name {
			return &settings[i]
		}
	}
	return nil
}
