package loadtool

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Daemon names a process whose control cost is read.
type Daemon struct {
	Name string
	// Group is what results are summed up by, for example the role.
	Group string
	// Debug is the address of expvar, PID the process id on this host.
	Debug string
	PID   int
}

// ParseDaemons reads a daemon a line: name, group, debug address and process id.
func ParseDaemons(text string) ([]Daemon, error) {
	const columns = 4
	var daemons []Daemon
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != columns {
			return nil, errors.Errorf("line %q has not the %d columns name, group, debug address and process id", strings.TrimSpace(line), columns)
		}
		pid, err := strconv.Atoi(fields[3])
		if err != nil {
			return nil, errors.Wrapf(err, "process id of %s", fields[0])
		}
		daemons = append(daemons, Daemon{Name: fields[0], Group: fields[1], Debug: fields[2], PID: pid})
	}
	return daemons, nil
}

// reading is what a daemon reports at one moment.
type reading struct {
	At        time.Time
	Ticks     float64 `json:"control_ticks"`
	BusyNS    float64 `json:"control_busy_ns"`
	LongestNS float64 `json:"control_longest_tick_ns"`
	BytesIn   float64 `json:"peer_bytes_in"`
	BytesOut  float64 `json:"peer_bytes_out"`
	Memstats  struct {
		HeapInuse    float64
		Sys          float64
		PauseTotalNs float64
		NumGC        float64
		TotalAlloc   float64
	} `json:"memstats"`
	cpuSeconds, residentBytes float64
}

// observed is a daemon's row: its first and last reading.
type observed struct {
	Daemon
	first, last reading
	err         error
}

// Observe reads each daemon at the start and at the end of an interval and
// returns the costs by group.
func Observe(ctx context.Context, daemons []Daemon, interval time.Duration) (*Costs, error) {
	rows := &table.Table[string, observed]{}
	for _, d := range daemons {
		rows.Put(d.Name, observed{Daemon: d})
	}
	readAll(ctx, rows, func(o *observed, r reading) { o.first = r })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(interval):
	}
	readAll(ctx, rows, func(o *observed, r reading) { o.last = r })
	return costsOf(rows), nil
}

// answer is the event that carries a reading to the goroutine of the table.
type answer struct {
	name    string
	reading reading
	err     error
}

// readers is the number of daemons read at a time.
const readers = 8

// readAll reads all daemons and stores the readings that succeeded.
func readAll(ctx context.Context, rows *table.Table[string, observed], store func(*observed, reading)) {
	asked := make(chan Daemon)
	answers := make(chan answer)
	for range readers {
		go func() {
			for d := range asked {
				r, err := read(ctx, d)
				answers <- answer{d.Name, r, err}
			}
		}()
	}
	var waiting []Daemon
	rows.Each(func(_ string, o *observed) { waiting = append(waiting, o.Daemon) })
	go func() {
		defer close(asked)
		for _, d := range waiting {
			asked <- d
		}
	}()
	for range waiting {
		a := <-answers
		o := rows.Get(a.name)
		if a.err != nil {
			o.err = a.err
			continue
		}
		store(o, a.reading)
	}
}

// readTimeout bounds the reading of one daemon.
const readTimeout = 5 * time.Second

func read(ctx context.Context, d Daemon) (reading, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r := reading{At: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Debug+"/debug/vars", nil)
	if err != nil {
		return r, errors.Wrapf(err, "address of %s", d.Name)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, errors.Wrapf(err, "read the metrics of %s", d.Name)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&r); err != nil {
		return r, errors.Wrapf(err, "decode the metrics of %s", d.Name)
	}
	return r, r.readProcess(d.PID)
}

const (
	// clockTicks is the unit of processor time in /proc, in ticks per second.
	clockTicks = 100
	// Positions in /proc/PID/stat behind the name, which ends with a bracket.
	userTime, systemTime = 11, 12
	residentPages        = 21
)

// readProcess reads processor time and resident memory from /proc.
func (r *reading) readProcess(pid int) error {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return errors.Wrap(err, "read /proc")
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= residentPages {
		return errors.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var values [3]float64
	for i, position := range []int{userTime, systemTime, residentPages} {
		if values[i], err = strconv.ParseFloat(fields[position], 64); err != nil {
			return errors.Wrapf(err, "field %d of /proc/%d/stat", position, pid)
		}
	}
	r.cpuSeconds = (values[0] + values[1]) / clockTicks
	r.residentBytes = values[2] * float64(os.Getpagesize())
	return nil
}
