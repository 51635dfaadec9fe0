package table

import (
	"math"
	"time"
)

// timeShare is the share of a new sample in a moving average of times: some ten
// samples tell how an endpoint does now.
const timeShare = 0.2

// AverageTime returns a moving average of times after a sample. The first sample
// is taken as it is.
func AverageTime(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(timeShare*float64(sample-mean))
}

// DecayingRate is a moving average of a rate in units per second, in which what
// was added fades with a time constant.
type DecayingRate struct {
	PerSecond float64
	At        Instant
}

// Add counts an amount at a time.
func (r *DecayingRate) Add(now Instant, amount float64, constant time.Duration) {
	r.PerSecond *= math.Exp(-now.Sub(r.At).Seconds() / constant.Seconds())
	r.PerSecond += amount / constant.Seconds()
	r.At = now
}
