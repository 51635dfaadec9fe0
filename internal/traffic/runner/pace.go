package runner

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// latencyMeter measures the time to the first token and the time per token of one run.
type latencyMeter struct {
	startedAt           time.Time
	firstTokenTime      time.Duration
	intervalStart       time.Time
	intervalStartTokens table.Tokens
}

func newLatencyMeter() *latencyMeter { return &latencyMeter{startedAt: time.Now()} }

// recordOutput is called with the total output so far and records the time of the first token.
func (m *latencyMeter) recordOutput(outputTokens table.Tokens) {
	if m.firstTokenTime == 0 && outputTokens > 0 {
		m.intervalStart, m.intervalStartTokens = time.Now(), outputTokens
		m.firstTokenTime = m.intervalStart.Sub(m.startedAt)
	}
}

// sample returns the time to the first token and the mean time per token since the last sample.
// Without new output since then, the time per token is zero.
func (m *latencyMeter) sample(outputTokens table.Tokens) event.RunLatency {
	latency := event.RunLatency{FirstTokenTime: m.firstTokenTime}
	if m.firstTokenTime == 0 || outputTokens <= m.intervalStartTokens {
		return latency
	}
	now := time.Now()
	latency.TokenTime = now.Sub(m.intervalStart) / time.Duration(outputTokens-m.intervalStartTokens)
	m.intervalStart, m.intervalStartTokens = now, outputTokens
	return latency
}
