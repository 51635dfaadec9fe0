package fake

import (
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// EngineConfig configures an Engine. With the zero value, the engine runs one
// stream at a time and generates tokens without delay.
type EngineConfig struct {
	// TokenTime is the time per output token while at most BatchSize streams are
	// active. With more streams, the time per token of each stream grows in
	// proportion.
	TokenTime time.Duration
	BatchSize int
	// PrefillTokenTime is the time per prompt token before the first output token.
	PrefillTokenTime time.Duration
	// MaxActiveStreams is the maximum number of streams that run; others are queued
	// by priority.
	MaxActiveStreams int
	// CrashMarker, if not empty, crashes the engine when it starts to run a prompt
	// that contains it.
	CrashMarker string
	// RestartDelay is the time from a crash to the restart; 0 waits for a call of
	// Restart.
	RestartDelay time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CheckFencingToken rejects requests with a fencing token lower than the highest
	// one received.
	CheckFencingToken bool
	Clock             Clock
}

// EngineFaults are the injected faults. Setting them replaces all earlier ones.
type EngineFaults struct {
	// SlowFactor multiplies the time per token; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// TruncateAfter ends the answer of each run after this many tokens, without the
	// end marker; 0 means never.
	TruncateAfter int64 `json:"truncate_after"`
}

// generateRequest is the body of a generate request.
type generateRequest struct {
	Prompt          string `json:"prompt"`
	Prefix          string `json:"prefix"`
	MaxTotalTokens  int64  `json:"max_total_tokens"`
	MaxOutputTokens int64  `json:"max_output_tokens"`
	Priority        int    `json:"priority"`
	FencingToken    uint64 `json:"fence"`
}

// responseLine is one JSON line of the response to a generate request.
type responseLine struct {
	Tokens       int64  `json:"tokens,omitempty"`
	Text         string `json:"text,omitempty"`
	Done         bool   `json:"done,omitempty"`
	PromptTokens int64  `json:"prompt_tokens,omitempty"`
	OutputTokens int64  `json:"output_tokens,omitempty"`
	// truncated ends the response without the end marker.
	truncated bool
}

// generateResult tells whether a generate request is accepted or rejected.
type generateResult struct {
	refusal string // value of the Refusal header, empty if accepted
	// lines has a buffer for the complete response, so that a slow client cannot
	// block the event loop. It is closed when the engine crashes.
	lines <-chan responseLine
}

type loadReport struct {
	Active        int   `json:"active"`
	Queued        int   `json:"queued"`
	PendingTokens int64 `json:"pending_tokens"`
	AgeMillis     int64 `json:"age_ms"`
}

// loadSample is the load from a point in time until the next sample.
type loadSample struct {
	since time.Time
	load  loadReport
}

type streamID uint64

// streamRow is a queued or active stream.
type streamRow struct {
	prompt       string
	promptTokens int64
	start, end   int64 // range of token positions of this run; end is exclusive
	next         int64 // position of the next token
	priority     int
	nextTokenAt  time.Time // time of the next token of an active stream
	lines        chan responseLine
}

// engineWorld is the state of an engine. Only the goroutine of its event loop
// accesses it.
type engineWorld struct {
	cfg                 EngineConfig
	now                 time.Time
	faults              EngineFaults
	highestFencingToken uint64
	down                bool
	restartAt           time.Time
	streams             table.Table[streamID, streamRow]
	queued              table.Set[streamID]
	active              table.Set[streamID]
	loadSamples         []loadSample
	startedRuns         int
	crashes             int
	stateWaiters        []waitForState
}

// engineEvent is applied to the state at the start of a tick.
type engineEvent interface{ apply(w *engineWorld) }

func (w *engineWorld) tick(now time.Time, events []engineEvent) time.Time {
	// First run the work that was due before the events arrived.
	runUntil(w, now)
	for _, e := range events {
		e.apply(w)
	}
	runUntil(w, now)
	notifyStateWaiters(w)
	return nextEngineDeadline(w)
}

// runUntil runs the systems at each deadline up to now.
func runUntil(w *engineWorld, now time.Time) {
	for {
		restartIfDue(w)
		startQueuedStreams(w)
		produceTokens(w)
		recordLoad(w)
		next := nextEngineDeadline(w)
		if next.IsZero() || next.After(now) {
			break
		}
		w.now = next
	}
	w.now = now
}

func nextEngineDeadline(w *engineWorld) time.Time {
	next := w.restartAt
	for _, id := range w.active.Keys() {
		next = earliest(next, w.streams.Get(id).nextTokenAt)
	}
	return next
}

// startStream is a generate request that arrived.
type startStream struct {
	id     streamID
	req    generateRequest
	result chan generateResult
}

func (e startStream) apply(w *engineWorld) {
	if w.down {
		close(e.result)
		return
	}
	if w.cfg.CheckFencingToken && e.req.FencingToken < w.highestFencingToken {
		e.result <- generateResult{refusal: "not_run"}
		return
	}
	w.highestFencingToken = max(w.highestFencingToken, e.req.FencingToken)
	promptTokens, prefixTokens := countTokens(e.req.Prompt), countTokens(e.req.Prefix)
	if promptTokens+prefixTokens > e.req.MaxTotalTokens {
		e.result <- generateResult{refusal: "prompt_too_long"}
		return
	}
	end := max(prefixTokens, min(answerLength(e.req.Prompt), e.req.MaxOutputTokens, e.req.MaxTotalTokens-promptTokens))
	lines := make(chan responseLine, end-prefixTokens+1)
	w.streams.Put(e.id, streamRow{
		prompt: e.req.Prompt, promptTokens: promptTokens,
		start: prefixTokens, next: prefixTokens, end: end,
		priority: e.req.Priority, lines: lines,
	})
	w.queued.Add(e.id)
	e.result <- generateResult{lines: lines}
}

// cancelStream removes a stream whose client has disconnected. It has no effect if
// the run has ended.
type cancelStream struct{ id streamID }

func (e cancelStream) apply(w *engineWorld) { w.removeStream(e.id) }

type setEngineFaults struct{ faults EngineFaults }

func (e setEngineFaults) apply(w *engineWorld) {
	w.faults = e.faults
}

// slowFactor returns the factor by which prefill and token times are multiplied.
func (w *engineWorld) slowFactor() float64 {
	if w.faults.SlowFactor > 0 {
		return w.faults.SlowFactor
	}
	return 1
}

// setDown crashes or restarts the engine.
type setDown struct{ down bool }

func (e setDown) apply(w *engineWorld) {
	if e.down {
		crash(w)
		return
	}
	w.down, w.restartAt = false, time.Time{}
}

// readLoad requests the load as it was LoadLag ago. The channel is closed if the
// engine is down.
type readLoad struct{ report chan loadReport }

func (e readLoad) apply(w *engineWorld) {
	if w.down {
		close(e.report)
		return
	}
	recordLoad(w)
	report := w.loadSamples[0].load
	report.AgeMillis = w.cfg.LoadLag.Milliseconds()
	e.report <- report
}

// waitForState closes its channel once the engine is down, or up if down is false.
type waitForState struct {
	down    bool
	reached chan struct{}
}

func (e waitForState) apply(w *engineWorld) { w.stateWaiters = append(w.stateWaiters, e) }

func notifyStateWaiters(w *engineWorld) {
	remaining := w.stateWaiters[:0]
	for _, e := range w.stateWaiters {
		if e.down == w.down {
			close(e.reached)
			continue
		}
		remaining = append(remaining, e)
	}
	w.stateWaiters = remaining
}

func (w *engineWorld) removeStream(id streamID) {
	w.streams.Delete(id)
	w.queued.Remove(id)
	w.active.Remove(id)
}

// crash drops all streams. Closing a channel before the last line drops the
// client's connection.
func crash(w *engineWorld) {
	w.crashes++
	w.down = true
	if w.cfg.RestartDelay > 0 {
		w.restartAt = w.now.Add(w.cfg.RestartDelay)
	}
	w.streams.DeleteIf(func(id streamID, s *streamRow) bool {
		close(s.lines)
		w.queued.Remove(id)
		w.active.Remove(id)
		return true
	})
}

func restartIfDue(w *engineWorld) {
	if w.restartAt.IsZero() || w.restartAt.After(w.now) {
		return
	}
	w.down, w.restartAt = false, time.Time{}
}

// startQueuedStreams starts streams by priority, then in order of arrival, until
// the maximum number is active.
func startQueuedStreams(w *engineWorld) {
	for w.queued.Len() > 0 && w.active.Len() < max(w.cfg.MaxActiveStreams, 1) {
		id := nextQueuedStream(w)
		s := w.streams.Get(id)
		if w.cfg.CrashMarker != "" && strings.Contains(s.prompt, w.cfg.CrashMarker) {
			crash(w)
			return
		}
		w.queued.Remove(id)
		w.active.Add(id)
		w.startedRuns++
		prefill := time.Duration(float64(w.cfg.PrefillTokenTime) * float64(s.promptTokens) * w.slowFactor())
		s.nextTokenAt = w.now.Add(prefill + w.tokenTime())
	}
}

func nextQueuedStream(w *engineWorld) streamID {
	var bestID streamID
	var bestRow *streamRow
	for _, id := range w.queued.Keys() {
		s := w.streams.Get(id)
		if bestRow == nil || s.priority > bestRow.priority {
			bestID, bestRow = id, s
		}
	}
	return bestID
}

// tokenTime returns the current time per token of each active stream.
func (w *engineWorld) tokenTime() time.Duration {
	slowdown := max(1, float64(w.active.Len())/float64(max(w.cfg.BatchSize, 1)))
	return time.Duration(float64(w.cfg.TokenTime) * slowdown * w.slowFactor())
}

// produceTokens sends the next token of each stream that is due, and the last line
// after its last token.
func produceTokens(w *engineWorld) {
	for _, id := range w.active.Keys() {
		s := w.streams.Get(id)
		if s.nextTokenAt.After(w.now) {
			continue
		}
		if s.next < s.end {
			s.lines <- responseLine{Tokens: 1, Text: tokenText(s.prompt, s.next)}
			s.next++
			s.nextTokenAt = w.now.Add(w.tokenTime())
		}
		switch {
		case w.faults.TruncateAfter > 0 && s.next-s.start >= w.faults.TruncateAfter:
			s.lines <- responseLine{truncated: true}
			w.removeStream(id)
		case s.next == s.end:
			s.lines <- responseLine{Done: true, PromptTokens: s.promptTokens, OutputTokens: s.end - s.start}
			w.removeStream(id)
		}
	}
}

// recordLoad adds a sample of the load and drops samples that are too old for any
// report.
func recordLoad(w *engineWorld) {
	load := loadReport{Active: w.active.Len(), Queued: w.queued.Len()}
	w.streams.Each(func(_ streamID, s *streamRow) { load.PendingTokens += s.end - s.next })
	if n := len(w.loadSamples); n == 0 || w.loadSamples[n-1].load != load {
		w.loadSamples = append(w.loadSamples, loadSample{since: w.now, load: load})
	}
	oldest := w.now.Add(-w.cfg.LoadLag)
	for len(w.loadSamples) > 1 && !w.loadSamples[1].since.After(oldest) {
		w.loadSamples = w.loadSamples[1:]
	}
}
