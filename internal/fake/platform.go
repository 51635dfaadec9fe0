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
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
	// maxPageBytes and maxPageObjects bound a page of a list or a watch response.
	maxPageBytes   = 3_000_000
	maxPageObjects = 500
	// processKind is the kind of the objects from which the membership is derived.
	processKind = "process"
)

// PlatformConfig configures a Platform. The zero value has no rate limits and no
// lag.
type PlatformConfig struct {
	// ReadsPerSecond and WritesPerSecond limit the call rates; 0 means no limit. The
	// burst is the number of calls allowed per second.
	ReadsPerSecond, WritesPerSecond int
	// MemberLag is the delay until the membership list shows a change.
	MemberLag time.Duration
	// Era is the store's first era. With 0, its answers name none until it returns from a copy.
	Era   uint64
	Clock Clock
}

// PlatformFaults are the injected faults. Setting them replaces all earlier ones.
type PlatformFaults struct {
	// Outage rejects each call before it takes effect.
	Outage bool `json:"outage"`
	// Silent makes an outage drop connections instead of returning errors.
	Silent bool `json:"silent"`
	// SlowMillis delays the effect and the response of each call.
	SlowMillis int64 `json:"slow_ms"`
	// LoseWriteResponses is the number of writes that take effect but whose response is
	// lost.
	LoseWriteResponses int `json:"lose_write_answers"`
	// LoseResponsesOfKind loses the responses of all successful writes to a kind.
	LoseResponsesOfKind string `json:"lose_answers_of_kind"`
	// DropHistory rejects watches from revisions before the current one.
	DropHistory bool `json:"drop_history"`
}

// Member is one entry of the membership list.
type Member struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
	// Gone removes the host from the list. It is only used as input.
	Gone bool `json:"gone,omitempty"`
}

// CallCount counts the calls of one operation on one kind.
type CallCount struct {
	Kind string `json:"kind"`
	Op   string `json:"op"`
	// Calls counts all calls. A watch counts once, no matter how long it waits.
	Calls int64 `json:"calls"`
	// Refused counts the calls rejected because of an outage or the rate limit.
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
	outcomeDropped // the connection is dropped without a response
)

type object struct {
	Kind    string
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

type callResult struct {
	outcome outcome
	objects []object
	// hasMore is true if the list continues after the last of the objects.
	hasMore  bool
	revision uint64
	// era is that of the store when the call ended.
	era uint64
}

type callID uint64

// platformCall is a call that arrived. Its row exists until the call completes.
type platformCall struct {
	id            callID
	op            platformOp
	kind, name    string
	afterName     string
	value         []byte
	revision      uint64 // expected version for a write, or start revision of a watch
	wait          time.Duration
	applyAt       time.Time // when a delayed call takes effect
	watchDeadline time.Time // when a watch without changes ends
	result        chan callResult
}

type kindRow struct {
	revision uint64
	objects  table.Table[string, object]
}

type callCountKey struct {
	kind string
	op   platformOp
}

// memberState is the state of a host in the membership list.
type memberState int

const (
	memberLive memberState = iota
	memberLeaving
	memberGone
)

// memberChange is a change of the membership that the list shows from visibleAt on.
type memberChange struct {
	host      string
	state     memberState
	visibleAt time.Time
}

// storedState is what the store keeps, and what a copy of it holds.
type storedState struct {
	revision uint64
	kinds    table.Table[string, kindRow]
}

func (s *storedState) clone() storedState {
	c := storedState{revision: s.revision}
	s.kinds.Each(func(kind string, k *kindRow) {
		row := c.kinds.Put(kind, kindRow{revision: k.revision})
		k.objects.Each(func(name string, o *object) { row.objects.Put(name, *o) })
	})
	return c
}

// platformWorld is the state of a platform. Only the goroutine of its event loop
// accesses it.
type platformWorld struct {
	now          time.Time
	memberLag    time.Duration
	faults       PlatformFaults
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	storedState
	era            uint64
	calls          table.Table[callID, platformCall]
	pendingCalls   table.Set[callID]
	waitingWatches table.Set[callID]
	currentMembers table.Table[string, memberState] // without the lag
	listedMembers  table.Table[string, memberState] // as the list shows them
	memberChanges  []memberChange
	callCounts     table.Table[callCountKey, CallCount]
	callWaiters    []waitForCalls
}

// platformEvent is applied to the state at the start of a tick.
type platformEvent interface{ apply(w *platformWorld) }

func (w *platformWorld) tick(now time.Time, events []platformEvent) time.Time {
	w.now = now
	for _, e := range events {
		e.apply(w)
	}
	updateMemberList(w)
	executeDueCalls(w)
	completeWatches(w)
	notifyCallWaiters(w)
	return nextPlatformDeadline(w)
}

// apply counts the call and either rejects it or schedules it.
func (c platformCall) apply(w *platformWorld) {
	key := callCountKey{c.kind, c.op}
	count := w.callCounts.Get(key)
	if count == nil {
		count = w.callCounts.Put(key, CallCount{Kind: c.kind, Op: string(c.op)})
	}
	count.Calls++
	if failure := checkAvailable(w, c.op); failure != outcomeOK {
		count.Refused++
		c.result <- callResult{outcome: failure, era: w.era}
		return
	}
	c.applyAt = w.now.Add(time.Duration(w.faults.SlowMillis) * time.Millisecond)
	c.watchDeadline = c.applyAt.Add(c.wait)
	w.calls.Put(c.id, c)
	w.pendingCalls.Add(c.id)
}

func checkAvailable(w *platformWorld, op platformOp) outcome {
	if w.faults.Outage {
		return outageOutcome(w)
	}
	limiter := w.readLimiter
	if op.isWrite() {
		limiter = w.writeLimiter
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

// clientDisconnected removes a waiting watch. A delayed write still takes effect.
type clientDisconnected struct{ id callID }

func (e clientDisconnected) apply(w *platformWorld) {
	if !w.waitingWatches.Has(e.id) {
		return
	}
	w.waitingWatches.Remove(e.id)
	w.calls.Delete(e.id)
}

type setPlatformFaults struct{ faults PlatformFaults }

// apply replaces the faults. An outage also ends the waiting watches.
func (e setPlatformFaults) apply(w *platformWorld) {
	w.faults = e.faults
	if !w.faults.Outage {
		return
	}
	for _, id := range w.waitingWatches.Keys() {
		w.complete(id, callResult{outcome: outageOutcome(w)})
	}
}

type copyStore struct{ copied chan storedState }

func (e copyStore) apply(w *platformWorld) { e.copied <- w.clone() }

type returnFromCopy struct{ copied storedState }

// apply begins the next era of the store with what a copy holds. Calls that are delayed take
// effect on it.
func (e returnFromCopy) apply(w *platformWorld) {
	w.storedState = e.copied.clone()
	w.era++
}

type setMember struct{ member Member }

func (e setMember) apply(w *platformWorld) {
	state := memberLive
	switch {
	case e.member.Gone:
		state = memberGone
	case e.member.Leaving:
		state = memberLeaving
	}
	w.recordMemberChange(e.member.Host, state)
}

type readCounts struct{ counts chan []CallCount }

func (e readCounts) apply(w *platformWorld) {
	counts := make([]CallCount, 0, w.callCounts.Len())
	w.callCounts.Each(func(_ callCountKey, c *CallCount) { counts = append(counts, *c) })
	e.counts <- counts
}

// waitForCalls closes its channel once minCalls calls of an operation on a kind have
// arrived.
type waitForCalls struct {
	key      callCountKey
	minCalls int64
	reached  chan struct{}
}

func (e waitForCalls) apply(w *platformWorld) { w.callWaiters = append(w.callWaiters, e) }

func notifyCallWaiters(w *platformWorld) {
	w.callWaiters = slices.DeleteFunc(w.callWaiters, func(e waitForCalls) bool {
		count := w.callCounts.Get(e.key)
		if count == nil || count.Calls < e.minCalls {
			return false
		}
		close(e.reached)
		return true
	})
}

func (w *platformWorld) recordMemberChange(host string, state memberState) {
	w.currentMembers.Put(host, state)
	w.memberChanges = append(w.memberChanges, memberChange{host: host, state: state, visibleAt: w.now.Add(w.memberLag)})
}

// complete sends the result of a call and removes its row.
func (w *platformWorld) complete(id callID, result callResult) {
	result.era = w.era
	w.calls.Get(id).result <- result
	w.calls.Delete(id)
	w.pendingCalls.Remove(id)
	w.waitingWatches.Remove(id)
}

// updateMemberList applies the changes that are older than the lag to the list.
func updateMemberList(w *platformWorld) {
	for len(w.memberChanges) > 0 && !w.memberChanges[0].visibleAt.After(w.now) {
		c := w.memberChanges[0]
		w.memberChanges = w.memberChanges[1:]
		if c.state == memberGone {
			w.listedMembers.Delete(c.host)
			continue
		}
		w.listedMembers.Put(c.host, c.state)
	}
}

// executeDueCalls executes the calls that are due, in order of arrival. A watch is
// added to the waiting watches.
func executeDueCalls(w *platformWorld) {
	for _, id := range w.pendingCalls.Keys() {
		c := w.calls.Get(id)
		if c.applyAt.After(w.now) {
			continue
		}
		if c.op == opWatch {
			w.pendingCalls.Remove(id)
			w.waitingWatches.Add(id)
			continue
		}
		result := executeCall(w, c)
		if c.op.isWrite() && result.outcome == outcomeOK && consumeLostResponse(w, c.kind) {
			result = callResult{outcome: outcomeDropped}
		}
		w.complete(id, result)
	}
}

// consumeLostResponse reports whether the response of a write to a kind must be lost.
// It decrements LoseWriteResponses unless all responses of the kind are lost.
func consumeLostResponse(w *platformWorld, kind string) bool {
	if kind == w.faults.LoseResponsesOfKind {
		return true
	}
	if w.faults.LoseWriteResponses == 0 {
		return false
	}
	w.faults.LoseWriteResponses--
	return true
}

func executeCall(w *platformWorld, c *platformCall) callResult {
	switch c.op {
	case opList:
		return listObjects(w, c)
	case opMembers:
		return callResult{objects: listMembers(w), revision: w.revision}
	}
	current := w.findObject(c.kind, c.name)
	switch {
	case current == nil && c.op != opCreate:
		return callResult{outcome: outcomeNotFound}
	case c.op == opGet:
		return callResult{objects: []object{*current}}
	case c.op == opCreate && current != nil, c.op != opCreate && c.revision != 0 && current.Version != c.revision:
		return callResult{outcome: outcomeConflict, objects: []object{*current}}
	case c.op == opUpdate && bytes.Equal(current.Value, c.value):
		// A write that does not change the value does not increase the revision.
		return callResult{objects: []object{*current}}
	}
	return writeObject(w, c)
}

// findObject returns an object, or nil if it does not exist or was deleted.
func (w *platformWorld) findObject(kind, name string) *object {
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

// writeObject stores the new state of an object. The row of a deleted object is kept
// so that watches report the deletion.
func writeObject(w *platformWorld, c *platformCall) callResult {
	w.revision++
	k := w.kinds.Get(c.kind)
	if k == nil {
		k = w.kinds.Put(c.kind, kindRow{})
	}
	k.revision = w.revision
	stored := k.objects.Put(c.name, object{
		Kind: c.kind, Name: c.name, Version: w.revision, Value: c.value, Deleted: c.op == opDelete,
	})
	if c.kind == processKind {
		updateMembership(w, c)
	}
	return callResult{objects: []object{*stored}, revision: w.revision}
}

// updateMembership derives the membership from a write to a process object. An
// update does not reset a leaving state that was set by an operator.
func updateMembership(w *platformWorld, c *platformCall) {
	state := w.currentMembers.Get(c.name)
	switch {
	case c.op == opDelete:
		w.recordMemberChange(c.name, memberGone)
	case c.op == opCreate, state == nil, *state == memberGone:
		w.recordMemberChange(c.name, memberLive)
	}
}

func listObjects(w *platformWorld, c *platformCall) callResult {
	objects := selectObjects(w, c.kind, func(o *object) bool { return !o.Deleted && o.Name > c.afterName })
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	objects, truncated := firstPage(objects)
	return callResult{objects: objects, hasMore: truncated, revision: w.revision}
}

func selectObjects(w *platformWorld, kind string, matches func(*object) bool) []object {
	objects := []object{}
	if k := w.kinds.Get(kind); k != nil {
		k.objects.Each(func(_ string, o *object) {
			if matches(o) {
				objects = append(objects, *o)
			}
		})
	}
	return objects
}

// firstPage returns the objects that fit into one response, at least one, and reports
// whether more follow.
func firstPage(objects []object) ([]object, bool) {
	size := 0
	for i, o := range objects {
		size += len(o.Value)
		if i > 0 && (size > maxPageBytes || i == maxPageObjects) {
			return objects[:i], true
		}
	}
	return objects, false
}

func listMembers(w *platformWorld) []object {
	members := make([]object, 0, w.listedMembers.Len())
	w.listedMembers.Each(func(host string, state *memberState) {
		value, err := json.Marshal(platform.WireMember{Leaving: *state == memberLeaving})
		if err != nil {
			panic(err)
		}
		members = append(members, object{Kind: platform.KindMembers, Name: host, Version: w.revision + 1, Value: value})
	})
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// completeWatches completes the watches that have changes, whose history was dropped
// or whose deadline has passed.
func completeWatches(w *platformWorld) {
	for _, id := range w.waitingWatches.Keys() {
		c := w.calls.Get(id)
		k := w.kinds.Get(c.kind)
		if w.faults.DropHistory && c.revision < w.revision || w.era > 0 && c.revision > w.revision {
			w.complete(id, callResult{outcome: outcomeCompacted})
			continue
		}
		if k != nil && k.revision > c.revision {
			w.complete(id, changesSince(w, c))
			continue
		}
		if !c.watchDeadline.After(w.now) {
			w.complete(id, callResult{objects: []object{}, revision: max(w.revision, c.revision)})
		}
	}
}

// changesSince returns the changes after the watch's revision, oldest first. If they
// do not fit into one response, the result has the revision of the last returned
// change, from which the next watch continues.
func changesSince(w *platformWorld, c *platformCall) callResult {
	objects := selectObjects(w, c.kind, func(o *object) bool { return o.Version > c.revision })
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	objects, truncated := firstPage(objects)
	if truncated {
		return callResult{objects: objects, revision: objects[len(objects)-1].Version}
	}
	return callResult{objects: objects, revision: w.revision}
}

func nextPlatformDeadline(w *platformWorld) time.Time {
	var next time.Time
	for _, id := range w.pendingCalls.Keys() {
		next = earliest(next, w.calls.Get(id).applyAt)
	}
	for _, id := range w.waitingWatches.Keys() {
		next = earliest(next, w.calls.Get(id).watchDeadline)
	}
	if len(w.memberChanges) > 0 {
		next = earliest(next, w.memberChanges[0].visibleAt)
	}
	return next
}
