package table

import (
	"math"
	"time"
)

// sampleWeight is the weight of a new sample in a moving average.
// With 0.2, the last ten samples or so determine the average.
const sampleWeight = 0.2

// UpdateMovingAverage returns the exponential moving average after a sample. A
// mean of 0 means that there was no sample yet, so the first sample is taken
// unchanged.
func UpdateMovingAverage[T ~int64 | ~float64](mean, sample T) T {
	if mean == 0 {
		return sample
	}
	return mean + T(sampleWeight*float64(sample-mean))
}

// DecayingRate is a moving average of a rate in which added amounts decay
// exponentially with a time constant.
type DecayingRate struct {
	// PerSecond is the rate as of UpdatedAt, in units per second.
	PerSecond float64
	UpdatedAt Instant
}

// Add decays the rate up to now and adds an amount. The caller passes the same
// time constant in each call.
func (r *DecayingRate) Add(now Instant, amount float64, constant time.Duration) {
	r.PerSecond *= math.Exp(-now.Sub(r.UpdatedAt).Seconds() / constant.Seconds())
	r.PerSecond += amount / constant.Seconds()
	r.UpdatedAt = now
}

// At returns the rate at a time. The caller passes the same time constant as to Add.
func (r *DecayingRate) At(now Instant, constant time.Duration) float64 {
	return r.PerSecond * math.Exp(-now.Sub(r.UpdatedAt).Seconds()/constant.Seconds())
}

// WindowMax is the largest of the values observed in a sliding window. It keeps one
// maximum for each of two periods, so that the window is one to two periods long.
type WindowMax struct {
	// Current is the maximum of the period that began at Since, Previous that of the
	// period before it.
	Current, Previous float64
	Since             Instant
}

// At returns the maximum at a time. The caller passes the same period in each call.
func (m *WindowMax) At(now Instant, period time.Duration) float64 {
	switch age := now.Sub(m.Since); {
	case age < period:
		return max(m.Current, m.Previous)
	case age < 2*period:
		return m.Current
	}
	return 0
}

// Observe adds a value.
func (m *WindowMax) Observe(now Instant, value float64, period time.Duration) {
	if age := now.Sub(m.Since); age >= period {
		if age >= 2*period {
			m.Current = 0
		}
		m.Previous, m.Current, m.Since = m.Current, 0, now
	}
	m.Current = max(m.Current, value)
}
