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

// Daemon identifies a process whose resource usage is measured.
type Daemon struct {
	Name string
	// Group is the key by which results are aggregated, for example the role.
	Group string
	// DebugAddress is the address that serves expvar, PID the process id on this host.
	DebugAddress string
	PID          int
}

// ParseDaemons parses a list of daemons, one per line: name, group, debug address and
// process id, separated by white space.
func ParseDaemons(text string) ([]Daemon, error) {
	const columnCount = 4
	var daemons []Daemon
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != columnCount {
			return nil, errors.Errorf("line %q does not have the %d columns name, group, debug address and process id", strings.TrimSpace(line), columnCount)
		}
		pid, err := strconv.Atoi(fields[3])
		if err != nil {
			return nil, errors.Wrapf(err, "invalid process id of %s", fields[0])
		}
		daemons = append(daemons, Daemon{Name: fields[0], Group: fields[1], DebugAddress: fields[2], PID: pid})
	}
	return daemons, nil
}

// sample holds the metrics of a daemon at one point in time.
type sample struct {
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

// daemonRow is a daemon's table row, with the samples at the start and at the end of
// the interval. A sample that failed sets err.
type daemonRow struct {
	Daemon
	first, last sample
	err         error
}

// Observe samples each daemon at the start and at the end of an interval and returns
// the costs by group.
func Observe(ctx context.Context, daemons []Daemon, interval time.Duration) (*Costs, error) {
	rows := &table.Table[string, daemonRow]{}
	for _, d := range daemons {
		rows.Put(d.Name, daemonRow{Daemon: d})
	}
	sampleAll(ctx, rows, func(row *daemonRow, s sample) { row.first = s })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(interval):
	}
	sampleAll(ctx, rows, func(row *daemonRow, s sample) { row.last = s })
	return newCosts(rows), nil
}

// sampleResult is the event that passes a sample to the goroutine that owns the table.
type sampleResult struct {
	name   string
	sample sample
	err    error
}

// maxConcurrentReads is the number of daemons that are sampled concurrently.
const maxConcurrentReads = 8

// sampleAll samples all daemons. It passes successful samples to store and records
// errors in the rows.
func sampleAll(ctx context.Context, rows *table.Table[string, daemonRow], store func(*daemonRow, sample)) {
	queue := make(chan Daemon)
	results := make(chan sampleResult)
	for range maxConcurrentReads {
		go func() {
			for d := range queue {
				s, err := takeSample(ctx, d)
				results <- sampleResult{d.Name, s, err}
			}
		}()
	}
	var daemons []Daemon
	rows.Each(func(_ string, row *daemonRow) { daemons = append(daemons, row.Daemon) })
	go func() {
		defer close(queue)
		for _, d := range daemons {
			queue <- d
		}
	}()
	for range daemons {
		result := <-results
		row := rows.Get(result.name)
		if result.err != nil {
			row.err = result.err
			continue
		}
		store(row, result.sample)
	}
}

// sampleTimeout limits the time to sample one daemon.
const sampleTimeout = 5 * time.Second

// takeSample reads the metrics that a daemon exports and those of its process in /proc.
func takeSample(ctx context.Context, d Daemon) (sample, error) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	s := sample{At: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.DebugAddress+"/debug/vars", nil)
	if err != nil {
		return s, errors.Wrapf(err, "invalid debug address of %s", d.Name)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, errors.Wrapf(err, "read the metrics of %s", d.Name)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		return s, errors.Wrapf(err, "decode the metrics of %s", d.Name)
	}
	return s, s.readProcStat(d.PID)
}

const (
	// clockTicksPerSecond is USER_HZ, the unit of the CPU times in /proc.
	clockTicksPerSecond = 100
	// Zero-based positions of utime, stime and rss among the fields of /proc/PID/stat
	// that follow the command name. The name is enclosed in parentheses.
	utimeField, stimeField = 11, 12
	rssField               = 21
)

// readProcStat reads CPU time and resident memory from /proc.
func (s *sample) readProcStat(pid int) error {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return errors.Wrap(err, "read /proc")
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= rssField {
		return errors.Errorf("/proc/%d/stat has too few fields after the command name: %d", pid, len(fields))
	}
	var values [3]float64
	for i, position := range []int{utimeField, stimeField, rssField} {
		if values[i], err = strconv.ParseFloat(fields[position], 64); err != nil {
			return errors.Wrapf(err, "parse field %d of /proc/%d/stat", position, pid)
		}
	}
	s.cpuSeconds = (values[0] + values[1]) / clockTicksPerSecond
	s.residentBytes = values[2] * float64(os.Getpagesize())
	return nil
}
