package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// stride is the number of tokens in an event of a stream.
	stride = 5
	// eventInterval is the time between two events, callTime the work of a plain call.
	eventInterval = 12 * time.Millisecond
	callTime      = 15 * time.Millisecond
	// beatInterval is how often a worker writes its entry.
	beatInterval = 1200 * time.Millisecond
)

// run is one execution of a request, as a worker saw it.
type run struct {
	request, tenant, worker, service, path string
	at                                     time.Time
}

// worker is a stand-in of a worker of a service.
type worker struct {
	id, service, address, zone string
	slots                      int
	stream                     bool
	world                      *world

	mu       sync.Mutex
	state    string
	sequence int
	running  int
	born     int64
	server   *http.Server
	// leaving is true if the worker leaves and its entry does not say so.
	leaving bool
	// stopped is closed when the worker writes its entry no more.
	stopped chan struct{}
}

func (w *world) newWorker(ip, service, zone string, stream bool, slots int) *worker {
	l := listen(ip)
	w.mu.Lock()
	w.workerCount++
	id := fmt.Sprintf("i-%06x", 0x71c000+w.workerCount*37)
	w.mu.Unlock()
	k := &worker{
		id: id, service: service, address: l.Addr().String(), zone: zone, slots: slots, stream: stream, world: w,
		state: "ready", born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	k.server = &http.Server{Handler: k}
	go k.server.Serve(l)
	return k
}

func (k *worker) entry() map[string]any {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	return map[string]any{
		"backend": k.service, "address": k.address, "zone": k.zone, "version": "v1", "capacity": k.slots, "state": k.state,
		"cold_left_ms": 0, "phase": "mixed", "model_list": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": k.sequence, "born": k.born,
	}
}

// beat writes the entry at the usual interval until the worker stops.
func (k *worker) beat() {
	for {
		select {
		case <-k.stopped:
			return
		default:
		}
		k.world.store.write("servers", k.id, k.entry())
		select {
		case <-k.stopped:
			return
		case <-time.After(beatInterval):
		}
	}
}

// drain reports that the worker leaves, and returns when the store has taken that.
func (k *worker) drain() time.Time {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	return k.world.store.writeUntilTaken("servers", k.id, k.entry())
}

// leaveUnreported lets the worker leave without reporting that: its entry is removed, and it
// goes on serving. It returns when the entry was removed.
func (k *worker) leaveUnreported() time.Time {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	close(k.stopped)
	return k.world.store.drop("servers", k.id)
}

func (k *worker) leaves() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving || k.state == "draining"
}

func (k *worker) load() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", k.running, k.slots)
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", k.load())
	h.Set("Keep-Alive", "timeout=15")
	if k.leaves() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", k.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != k.id {
		h.Set("Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	if k.running >= k.slots {
		k.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.running++
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.running--
		k.mu.Unlock()
	}()
	k.world.addRun(run{request: id, tenant: r.Header.Get("Tenant"), worker: k.id, service: k.service, path: r.URL.Path, at: time.Now()})
	h.Set("Server-Seal", "seal."+id+"."+k.id)
	if !k.stream {
		time.Sleep(callTime)
		h.Set("Content-Length", "800")
		fmt.Fprint(w, strings.Repeat("b", 800))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	_, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	for n := 1; n <= tokens/stride; n++ {
		time.Sleep(eventInterval)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("t ", stride)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return
		}
	}
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	return l
}
