package fake

import (
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// EngineConfig sets the properties of an Engine. The zero value runs without
// delay and one stream at a time.
type EngineConfig struct {
	// Pace is the time per token while at most Batch streams are active. With
	// more, each stream's time per token grows in proportion.
	Pace  time.Duration
	Batch int
	// PrefillPace is the time per prompt token before the first output token.
	PrefillPace time.Duration
	// MaxActive is the number of streams that run; others queue by priority.
	MaxActive int
	// CrashMarker crashes the engine when it starts a prompt that contains it.
	CrashMarker string
	// ReviveAfter ends a crash; 0 leaves that to Revive.
	ReviveAfter time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CheckFence refuses a fencing number below the highest one seen.
	CheckFence bool
	Clock      Clock
}

// EngineFaults are the faults in force. Each setting replaces the former.
type EngineFaults struct {
	// SlowFactor multiplies the time per token; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// TruncateAfter ends the answer of each run after this many tokens without
	// an end mark; 0 means never.
	TruncateAfter int64 `json:"truncate_after"`
}

// generation is a generate request as the engine receives it.
type generation struct {
	Prompt          string `json:"prompt"`
	Prefix          string `json:"prefix"`
	MaxTotalTokens  int64  `json:"max_total_tokens"`
	MaxOutputTokens int64  `json:"max_output_tokens"`
	Priority        int    `json:"priority"`
	Fence           uint64 `json:"fence"`
}

// engineStep is one line of an answer.
type engineStep struct {
	Tokens       int64  `json:"tokens,omitempty"`
	Text         string `json:"text,omitempty"`
	Done         bool   `json:"done,omitempty"`
	PromptTokens int64  `json:"prompt_tokens,omitempty"`
	OutputTokens int64  `json:"output_tokens,omitempty"`
	// truncated ends the answer without an end mark.
	truncated bool
}

// streamReply accepts or refuses a generate request.
type streamReply struct {
	refusal string // value of the Refusal header, empty if accepted
	// steps has room for the whole answer, so that a slow client cannot block
	// the loop. It is closed when the engine crashes.
	steps <-chan engineStep
}

type loadReport struct {
	Active        int   `json:"active"`
	Queued        int   `json:"queued"`
	PendingTokens int64 `json:"pending_tokens"`
	AgeMillis     int64 `json:"age_ms"`
}

// loadSample is the load from its time on.
type loadSample struct {
	at   time.Time
	load loadReport
}

type streamID uint64

// streamRow is a queued or active stream.
type streamRow struct {
	prompt       string
	promptTokens int64
	first, end   int64 // positions of the first token of this run and behind its last
	next         int64 // position of the next token
	priority     int
	due          time.Time // time of the next token of an active stream
	steps        chan engineStep
}

// engineWorld is the state of an engine; only its loop touches it.
type engineWorld struct {
	cfg        EngineConfig
	now        time.Time
	faults     EngineFaults
	fence      uint64
	down       bool
	reviveAt   time.Time
	streams    table.Table[streamID, streamRow]
	queued     table.Set[streamID]
	active     table.Set[streamID]
	samples    []loadSample
	started    int
	crashes    int
	awaitState []awaitDown
}

// engineEvent enters the tables at the start of a tick.
type engineEvent interface{ arrive(w *engineWorld) }

func (w *engineWorld) tick(now time.Time, events []engineEvent) time.Time {
	// Work that was due before the events runs at its own times.
	runUntil(w, now)
	for _, e := range events {
		e.arrive(w)
	}
	runUntil(w, now)
	answerDown(w)
	return nextEngineDeadline(w)
}

// runUntil steps from deadline to deadline up to now.
func runUntil(w *engineWorld, now time.Time) {
	for {
		revive(w)
		startQueued(w)
		produceDue(w)
		sampleLoad(w)
		next := nextEngineDeadline(w)
		if next.IsZero() || next.After(now) {
			break
		}
		w.now = next
	}
	w.now = now
}

func nextEngineDeadline(w *engineWorld) time.Time {
	next := w.reviveAt
	for _, id := range w.active.Keys() {
		next = earliest(next, w.streams.Get(id).due)
	}
	return next
}

// newStream is an arrived generate request.
type newStream struct {
	id    streamID
	req   generation
	reply chan streamReply
}

func (e newStream) arrive(w *engineWorld) {
	if w.down {
		close(e.reply)
		return
	}
	if w.cfg.CheckFence && e.req.Fence < w.fence {
		e.reply <- streamReply{refusal: "not_run"}
		return
	}
	w.fence = max(w.fence, e.req.Fence)
	prompt, prefix := countTokens(e.req.Prompt), countTokens(e.req.Prefix)
	if prompt+prefix > e.req.MaxTotalTokens {
		e.reply <- streamReply{refusal: "prompt_too_long"}
		return
	}
	end := max(prefix, min(answerTokens(e.req.Prompt), e.req.MaxOutputTokens, e.req.MaxTotalTokens-prompt))
	steps := make(chan engineStep, end-prefix+1)
	w.streams.Put(e.id, streamRow{
		prompt: e.req.Prompt, promptTokens: prompt,
		first: prefix, next: prefix, end: end,
		priority: e.req.Priority, steps: steps,
	})
	w.queued.Add(e.id)
	e.reply <- streamReply{steps: steps}
}

// cancelStream ends a run whose client left.
type cancelStream struct{ id streamID }

func (e cancelStream) arrive(w *engineWorld) { w.remove(e.id) }

type setEngineFaults struct{ faults EngineFaults }

func (e setEngineFaults) arrive(w *engineWorld) {
	w.faults = e.faults
}

// slowFactor is the factor on each time that the engine takes.
func (w *engineWorld) slowFactor() float64 {
	if w.faults.SlowFactor > 0 {
		return w.faults.SlowFactor
	}
	return 1
}

// setDown crashes or revives the engine.
type setDown struct{ down bool }

func (e setDown) arrive(w *engineWorld) {
	if e.down {
		crash(w)
		return
	}
	w.down, w.reviveAt = false, time.Time{}
}

// readLoad asks for the state one lag ago.
type readLoad struct{ answer chan loadReport }

func (e readLoad) arrive(w *engineWorld) {
	if w.down {
		close(e.answer)
		return
	}
	sampleLoad(w)
	report := w.samples[0].load
	report.AgeMillis = w.cfg.LoadLag.Milliseconds()
	e.answer <- report
}

// awaitDown closes its channel once the engine is down, or up.
type awaitDown struct {
	down    bool
	reached chan struct{}
}

func (e awaitDown) arrive(w *engineWorld) { w.awaitState = append(w.awaitState, e) }

func answerDown(w *engineWorld) {
	waiting := w.awaitState[:0]
	for _, e := range w.awaitState {
		if e.down == w.down {
			close(e.reached)
			continue
		}
		waiting = append(waiting, e)
	}
	w.awaitState = waiting
}

func (w *engineWorld) remove(id streamID) {
	w.streams.Delete(id)
	w.queued.Remove(id)
	w.active.Remove(id)
}

// crash drops all streams: a closed channel without an end step is a lost
// connection.
func crash(w *engineWorld) {
	w.crashes++
	w.down = true
	if w.cfg.ReviveAfter > 0 {
		w.reviveAt = w.now.Add(w.cfg.ReviveAfter)
	}
	w.streams.DeleteIf(func(id streamID, s *streamRow) bool {
		close(s.steps)
		w.queued.Remove(id)
		w.active.Remove(id)
		return true
	})
}

func revive(w *engineWorld) {
	if w.reviveAt.IsZero() || w.reviveAt.After(w.now) {
		return
	}
	w.down, w.reviveAt = false, time.Time{}
}

// startQueued fills the batch by priority, then by arrival.
func startQueued(w *engineWorld) {
	for w.queued.Len() > 0 && w.active.Len() < max(w.cfg.MaxActive, 1) {
		id := firstQueued(w)
		s := w.streams.Get(id)
		if w.cfg.CrashMarker != "" && strings.Contains(s.prompt, w.cfg.CrashMarker) {
			crash(w)
			return
		}
		w.queued.Remove(id)
		w.active.Add(id)
		w.started++
		prefill := time.Duration(float64(w.cfg.PrefillPace) * float64(s.promptTokens) * w.slowFactor())
		s.due = w.now.Add(prefill + w.tokenTime())
	}
}

func firstQueued(w *engineWorld) streamID {
	var best streamID
	var bestRow *streamRow
	for _, id := range w.queued.Keys() {
		s := w.streams.Get(id)
		if bestRow == nil || s.priority > bestRow.priority {
			best, bestRow = id, s
		}
	}
	return best
}

// tokenTime is the time per token of each active stream.
func (w *engineWorld) tokenTime() time.Duration {
	share := max(1, float64(w.active.Len())/float64(max(w.cfg.Batch, 1)))
	return time.Duration(float64(w.cfg.Pace) * share * w.slowFactor())
}

// produceDue gives each due stream one token, or its end.
func produceDue(w *engineWorld) {
	for _, id := range w.active.Keys() {
		s := w.streams.Get(id)
		if s.due.After(w.now) {
			continue
		}
		if s.next < s.end {
			s.steps <- engineStep{Tokens: 1, Text: token(s.prompt, s.next)}
			s.next++
			s.due = w.now.Add(w.tokenTime())
		}
		switch {
		case w.faults.TruncateAfter > 0 && s.next-s.first >= w.faults.TruncateAfter:
			s.steps <- engineStep{truncated: true}
			w.remove(id)
		case s.next == s.end:
			s.steps <- engineStep{Done: true, PromptTokens: s.promptTokens, OutputTokens: s.end - s.first}
			w.remove(id)
		}
	}
}

// sampleLoad records the load and drops samples that no report needs.
func sampleLoad(w *engineWorld) {
	load := loadReport{Active: w.active.Len(), Queued: w.queued.Len()}
	w.streams.Each(func(_ streamID, s *streamRow) { load.PendingTokens += s.end - s.next })
	if n := len(w.samples); n == 0 || w.samples[n-1].load != load {
		w.samples = append(w.samples, loadSample{at: w.now, load: load})
	}
	oldest := w.now.Add(-w.cfg.LoadLag)
	for len(w.samples) > 1 && !w.samples[1].at.After(oldest) {
		w.samples = w.samples[1:]
	}
}
