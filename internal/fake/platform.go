package fake

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/platform"
)

const (
	// MaxValueBytes is the size limit of a value.
	MaxValueBytes = 1 << 20
	// pageBytes and pageObjects end a page of a list or a watch answer.
	pageBytes   = 3_000_000
	pageObjects = 500
	// processKind is the kind whose objects count as live members.
	processKind = "process"
)

// PlatformConfig sets the properties of a Platform. The zero value has no
// limits and no lag.
type PlatformConfig struct {
	// ReadsPerSecond and WritesPerSecond limit calls; 0 means no limit. The
	// burst is one second's worth.
	ReadsPerSecond, WritesPerSecond int
	// MemberLag is how late the membership list shows a change.
	MemberLag time.Duration
	Clock     Clock
}

// PlatformFaults are the faults in force. Each setting replaces the former.
type PlatformFaults struct {
	// Outage refuses each call before it takes effect.
	Outage bool `json:"outage"`
	// Silent makes an outage drop connections instead of answering.
	Silent bool `json:"silent"`
	// SlowMillis delays the effect and the answer of each call.
	SlowMillis int64 `json:"slow_ms"`
	// LoseWriteAnswers is the number of writes whose answer is lost after they
	// took effect.
	LoseWriteAnswers int `json:"lose_write_answers"`
	// LoseAnswersOfKind loses the answers of all writes to a kind.
	LoseAnswersOfKind string `json:"lose_answers_of_kind"`
	// DropHistory refuses watches from revisions before the present one.
	DropHistory bool `json:"drop_history"`
}

// Member is one entry of the membership list.
type Member struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
	// Gone removes the host from the list; the list itself never shows it.
	Gone bool `json:"gone,omitempty"`
}

// CallCount counts the calls of one operation on one kind.
type CallCount struct {
	Kind string `json:"kind"`
	Op   string `json:"op"`
	// Calls counts all calls; a waiting watch is one call.
	Calls int64 `json:"calls"`
	// Refused counts calls that an outage or the rate limit refused.
	Refused int64 `json:"refused"`
}

type platformOp string

const (
	opGet     platformOp = "get"
	opCreate  platformOp = "create"
	opUpdate  platformOp = "update"
	opDelete  platformOp = "delete"
	opList    platformOp = "list"
	opWatch   platformOp = "watch"
	opMembers platformOp = "members"
)

func (o platformOp) isWrite() bool { return o == opCreate || o == opUpdate || o == opDelete }

type outcome int

const (
	outcomeOK outcome = iota
	outcomeNotFound
	outcomeConflict
	outcomeRateLimited
	outcomeOutage
	outcomeCompacted
	outcomeDropped // no answer is sent
)

type object struct {
	Kind    string
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

// platformAnswer is the result of a call.
type platformAnswer struct {
	outcome outcome
	objects []object
	// more is true if a list goes on behind its last object.
	more     bool
	revision uint64
}

type callID uint64

// platformCall is an arrived call; its row lives until it is answered.
type platformCall struct {
	id         callID
	op         platformOp
	kind, name string
	after      string
	value      []byte
	version    uint64 // version of a write, or revision that a watch starts at
	wait       time.Duration
	due        time.Time // a delayed call takes effect then
	deadline   time.Time // a watch ends then
	answer     chan platformAnswer
}

type kindRow struct {
	revision uint64
	objects  table.Table[string, object]
}

type countKey struct {
	kind string
	op   platformOp
}

// memberState is what the membership list knows of a host.
type memberState int

const (
	memberLive memberState = iota
	memberLeaving
	memberGone
)

// memberChange becomes visible in the list at its time.
type memberChange struct {
	host  string
	state memberState
	shown time.Time
}

// platformWorld is the state of a platform; only its loop touches it.
type platformWorld struct {
	now      time.Time
	lag      time.Duration
	faults   PlatformFaults
	reads    *rate.Limiter
	writes   *rate.Limiter
	revision uint64
	kinds    table.Table[string, kindRow]
	calls    table.Table[callID, platformCall]
	delayed  table.Set[callID]
	watches  table.Set[callID]
	members  table.Table[string, memberState] // the true state
	listed   table.Table[string, memberState] // the state that the list shows
	changes  []memberChange
	counts   table.Table[countKey, CallCount]
	awaited  []awaitCalls
}

// platformEvent enters the tables at the start of a tick.
type platformEvent interface{ arrive(w *platformWorld) }

func (w *platformWorld) tick(now time.Time, events []platformEvent) time.Time {
	w.now = now
	for _, e := range events {
		e.arrive(w)
	}
	showMembers(w)
	applyCalls(w)
	answerWatches(w)
	answerAwaited(w)
	return nextPlatformDeadline(w)
}

// arrive counts a call and refuses it, or stores it with its due time.
func (c platformCall) arrive(w *platformWorld) {
	key := countKey{c.kind, c.op}
	count := w.counts.Get(key)
	if count == nil {
		count = w.counts.Put(key, CallCount{Kind: c.kind, Op: string(c.op)})
	}
	count.Calls++
	if refused := refuse(w, c.op); refused != outcomeOK {
		count.Refused++
		c.answer <- platformAnswer{outcome: refused}
		return
	}
	c.due = w.now.Add(time.Duration(w.faults.SlowMillis) * time.Millisecond)
	c.deadline = c.due.Add(c.wait)
	w.calls.Put(c.id, c)
	w.delayed.Add(c.id)
}

func refuse(w *platformWorld, op platformOp) outcome {
	if w.faults.Outage {
		return outageOutcome(w)
	}
	limiter := w.reads
	if op.isWrite() {
		limiter = w.writes
	}
	if !limiter.AllowN(w.now, 1) {
		return outcomeRateLimited
	}
	return outcomeOK
}

func outageOutcome(w *platformWorld) outcome {
	if w.faults.Silent {
		return outcomeDropped
	}
	return outcomeOutage
}

// clientLeft ends a waiting watch. A delayed write still takes effect.
type clientLeft struct{ id callID }

func (e clientLeft) arrive(w *platformWorld) {
	if !w.watches.Has(e.id) {
		return
	}
	w.watches.Remove(e.id)
	w.calls.Delete(e.id)
}

type setPlatformFaults struct{ faults PlatformFaults }

// arrive puts the faults in force; an outage also ends the waiting watches.
func (e setPlatformFaults) arrive(w *platformWorld) {
	w.faults = e.faults
	if !w.faults.Outage {
		return
	}
	for _, id := range w.watches.Keys() {
		w.finish(id, platformAnswer{outcome: outageOutcome(w)})
	}
}

type setMember struct{ member Member }

func (e setMember) arrive(w *platformWorld) {
	state := memberLive
	switch {
	case e.member.Gone:
		state = memberGone
	case e.member.Leaving:
		state = memberLeaving
	}
	w.setMember(e.member.Host, state)
}

type readCounts struct{ answer chan []CallCount }

func (e readCounts) arrive(w *platformWorld) {
	counts := make([]CallCount, 0, w.counts.Len())
	w.counts.Each(func(_ countKey, c *CallCount) { counts = append(counts, *c) })
	e.answer <- counts
}

// awaitCalls closes its channel once n calls of an operation have arrived.
type awaitCalls struct {
	key     countKey
	n       int64
	reached chan struct{}
}

func (e awaitCalls) arrive(w *platformWorld) { w.awaited = append(w.awaited, e) }

func answerAwaited(w *platformWorld) {
	w.awaited = slices.DeleteFunc(w.awaited, func(e awaitCalls) bool {
		count := w.counts.Get(e.key)
		if count == nil || count.Calls < e.n {
			return false
		}
		close(e.reached)
		return true
	})
}

func (w *platformWorld) setMember(host string, state memberState) {
	w.members.Put(host, state)
	w.changes = append(w.changes, memberChange{host: host, state: state, shown: w.now.Add(w.lag)})
}

// finish answers a call and removes its row.
func (w *platformWorld) finish(id callID, a platformAnswer) {
	w.calls.Get(id).answer <- a
	w.calls.Delete(id)
	w.delayed.Remove(id)
	w.watches.Remove(id)
}

// showMembers moves the changes that are older than the lag into the list.
func showMembers(w *platformWorld) {
	for len(w.changes) > 0 && !w.changes[0].shown.After(w.now) {
		c := w.changes[0]
		w.changes = w.changes[1:]
		if c.state == memberGone {
			w.listed.Delete(c.host)
			continue
		}
		w.listed.Put(c.host, c.state)
	}
}

// applyCalls runs the calls that are due, in order of arrival.
func applyCalls(w *platformWorld) {
	for _, id := range w.delayed.Keys() {
		c := w.calls.Get(id)
		if c.due.After(w.now) {
			continue
		}
		if c.op == opWatch {
			w.delayed.Remove(id)
			w.watches.Add(id)
			continue
		}
		a := apply(w, c)
		if c.op.isWrite() && a.outcome == outcomeOK && losesAnswer(w, c.kind) {
			a = platformAnswer{outcome: outcomeDropped}
		}
		w.finish(id, a)
	}
}

func losesAnswer(w *platformWorld, kind string) bool {
	if kind == w.faults.LoseAnswersOfKind {
		return true
	}
	if w.faults.LoseWriteAnswers == 0 {
		return false
	}
	w.faults.LoseWriteAnswers--
	return true
}

func apply(w *platformWorld, c *platformCall) platformAnswer {
	switch c.op {
	case opList:
		return list(w, c)
	case opMembers:
		return platformAnswer{objects: listMembers(w), revision: w.revision}
	}
	row := w.find(c.kind, c.name)
	switch {
	case row == nil && c.op != opCreate:
		return platformAnswer{outcome: outcomeNotFound}
	case c.op == opGet:
		return platformAnswer{objects: []object{*row}}
	case c.op == opCreate && row != nil, c.op != opCreate && c.version != 0 && row.Version != c.version:
		return platformAnswer{outcome: outcomeConflict, objects: []object{*row}}
	case c.op == opUpdate && bytes.Equal(row.Value, c.value):
		// A write that changes nothing keeps the revision.
		return platformAnswer{objects: []object{*row}}
	}
	return write(w, c)
}

// find returns the object, or nil if there is none or it was deleted.
func (w *platformWorld) find(kind, name string) *object {
	k := w.kinds.Get(kind)
	if k == nil {
		return nil
	}
	o := k.objects.Get(name)
	if o == nil || o.Deleted {
		return nil
	}
	return o
}

// write stores the new state of an object. A deleted object keeps a row, so
// that watches see its end.
func write(w *platformWorld, c *platformCall) platformAnswer {
	w.revision++
	k := w.kinds.Get(c.kind)
	if k == nil {
		k = w.kinds.Put(c.kind, kindRow{})
	}
	k.revision = w.revision
	row := k.objects.Put(c.name, object{
		Kind: c.kind, Name: c.name, Version: w.revision, Value: c.value, Deleted: c.op == opDelete,
	})
	if c.kind == processKind {
		followProcess(w, c)
	}
	return platformAnswer{objects: []object{*row}, revision: w.revision}
}

// followProcess derives the membership from process objects. An update does
// not revoke the leaving mark that an operator set.
func followProcess(w *platformWorld, c *platformCall) {
	state := w.members.Get(c.name)
	switch {
	case c.op == opDelete:
		w.setMember(c.name, memberGone)
	case c.op == opCreate, state == nil, *state == memberGone:
		w.setMember(c.name, memberLive)
	}
}

func list(w *platformWorld, c *platformCall) platformAnswer {
	objects := selectObjects(w, c.kind, func(o *object) bool { return !o.Deleted && o.Name > c.after })
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	objects, cut := page(objects)
	return platformAnswer{objects: objects, more: cut, revision: w.revision}
}

func selectObjects(w *platformWorld, kind string, want func(*object) bool) []object {
	objects := []object{}
	if k := w.kinds.Get(kind); k != nil {
		k.objects.Each(func(_ string, o *object) {
			if want(o) {
				objects = append(objects, *o)
			}
		})
	}
	return objects
}

// page cuts objects to the size of one answer, at least one object.
func page(objects []object) ([]object, bool) {
	size := 0
	for i, o := range objects {
		size += len(o.Value)
		if i > 0 && (size > pageBytes || i == pageObjects) {
			return objects[:i], true
		}
	}
	return objects, false
}

func listMembers(w *platformWorld) []object {
	members := make([]object, 0, w.listed.Len())
	w.listed.Each(func(host string, state *memberState) {
		value, err := json.Marshal(platform.WireMember{Leaving: *state == memberLeaving})
		if err != nil {
			panic(err)
		}
		members = append(members, object{Kind: platform.KindMembers, Name: host, Version: w.revision + 1, Value: value})
	})
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// answerWatches answers the watches that have news or whose wait is over.
func answerWatches(w *platformWorld) {
	for _, id := range w.watches.Keys() {
		c := w.calls.Get(id)
		k := w.kinds.Get(c.kind)
		if w.faults.DropHistory && c.version < w.revision {
			w.finish(id, platformAnswer{outcome: outcomeCompacted})
			continue
		}
		if k != nil && k.revision > c.version {
			w.finish(id, changes(w, c))
			continue
		}
		if !c.deadline.After(w.now) {
			w.finish(id, platformAnswer{objects: []object{}, revision: max(w.revision, c.version)})
		}
	}
}

// changes returns the oldest changes after the watch's revision. A cut answer
// carries the revision of its last change, so that the next watch continues.
func changes(w *platformWorld, c *platformCall) platformAnswer {
	objects := selectObjects(w, c.kind, func(o *object) bool { return o.Version > c.version })
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	objects, cut := page(objects)
	if cut {
		return platformAnswer{objects: objects, revision: objects[len(objects)-1].Version}
	}
	return platformAnswer{objects: objects, revision: w.revision}
}

func nextPlatformDeadline(w *platformWorld) time.Time {
	var next time.Time
	for _, id := range w.delayed.Keys() {
		next = earliest(next, w.calls.Get(id).due)
	}
	for _, id := range w.watches.Keys() {
		next = earliest(next, w.calls.Get(id).deadline)
	}
	if len(w.changes) > 0 {
		next = earliest(next, w.changes[0].shown)
	}
	return next
}
