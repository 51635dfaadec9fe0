package loadtool

import (
	"fmt"
	"io"
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Cost holds the resource usage of one daemon over the interval, and its memory
// usage at the end of the interval.
type Cost struct {
	// ControlCPU is the CPU usage of control ticks and ProcessCPU that of the whole
	// process, as fractions of a core.
	ControlCPU, ProcessCPU float64
	TicksPerSec            float64
	LongestTickSeconds     float64 // since the daemon started
	PeerBytesInPerSec      float64
	PeerBytesOutPerSec     float64
	HeapBytes              float64 // bytes in spans in use
	ResidentBytes          float64
	AllocBytesPerSec       float64
	GCPauseSecondsPerSec   float64 // stop-the-world pauses
}

// Costs holds the costs of all daemons by group.
type Costs struct {
	// Groups lists the groups in the order of their first daemons.
	Groups  []string
	ByGroup map[string][]Cost
	// ReadErrors lists the daemons whose metrics could not be read, each with the
	// error.
	ReadErrors []string
}

func newCosts(rows *table.Table[string, daemonRow]) *Costs {
	c := &Costs{ByGroup: map[string][]Cost{}}
	rows.Each(func(name string, row *daemonRow) {
		if row.err != nil {
			c.ReadErrors = append(c.ReadErrors, name+": "+row.err.Error())
			return
		}
		if !slices.Contains(c.Groups, row.Group) {
			c.Groups = append(c.Groups, row.Group)
		}
		c.ByGroup[row.Group] = append(c.ByGroup[row.Group], newCost(&row.first, &row.last))
	})
	return c
}

// newCost computes the costs of a daemon between two samples.
func newCost(first, last *sample) Cost {
	seconds := last.At.Sub(first.At).Seconds()
	if seconds <= 0 {
		return Cost{}
	}
	const nsPerSecond = 1e9
	return Cost{
		ControlCPU:           (last.BusyNS - first.BusyNS) / nsPerSecond / seconds,
		ProcessCPU:           (last.cpuSeconds - first.cpuSeconds) / seconds,
		TicksPerSec:          (last.Ticks - first.Ticks) / seconds,
		LongestTickSeconds:   last.LongestNS / nsPerSecond,
		PeerBytesInPerSec:    (last.BytesIn - first.BytesIn) / seconds,
		PeerBytesOutPerSec:   (last.BytesOut - first.BytesOut) / seconds,
		HeapBytes:            last.Memstats.HeapInuse,
		ResidentBytes:        last.residentBytes,
		AllocBytesPerSec:     (last.Memstats.TotalAlloc - first.Memstats.TotalAlloc) / seconds,
		GCPauseSecondsPerSec: (last.Memstats.PauseTotalNs - first.Memstats.PauseTotalNs) / nsPerSecond / seconds,
	}
}

// metric is a row of the cost table of a group.
type metric struct {
	name  string
	value func(Cost) float64
}

var metrics = []metric{
	{"control, % of a core", func(c Cost) float64 { return 100 * c.ControlCPU }},
	{"process, % of a core", func(c Cost) float64 { return 100 * c.ProcessCPU }},
	{"ticks/s", func(c Cost) float64 { return c.TicksPerSec }},
	{"longest tick, ms", func(c Cost) float64 { return 1e3 * c.LongestTickSeconds }},
	{"peer in, KB/s", func(c Cost) float64 { return c.PeerBytesInPerSec / 1e3 }},
	{"peer out, KB/s", func(c Cost) float64 { return c.PeerBytesOutPerSec / 1e3 }},
	{"heap, MB", func(c Cost) float64 { return c.HeapBytes / 1e6 }},
	{"resident, MB", func(c Cost) float64 { return c.ResidentBytes / 1e6 }},
	{"allocated, KB/s", func(c Cost) float64 { return c.AllocBytesPerSec / 1e3 }},
	{"GC pauses, us/s", func(c Cost) float64 { return 1e6 * c.GCPauseSecondsPerSec }},
}

// Write prints the minimum, mean and maximum of each metric per group as a Markdown table.
func (c *Costs) Write(w io.Writer) error {
	if _, err := io.WriteString(w, "| group | daemons | metric | min | mean | max |\n|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, group := range c.Groups {
		for _, m := range metrics {
			if err := writeMetric(w, group, c.ByGroup[group], m); err != nil {
				return err
			}
		}
	}
	for _, readError := range c.ReadErrors {
		if _, err := fmt.Fprintf(w, "\ncould not read %s\n", readError); err != nil {
			return err
		}
	}
	return nil
}

func writeMetric(w io.Writer, group string, costs []Cost, m metric) error {
	values := make([]float64, len(costs))
	sum := 0.0
	for i, c := range costs {
		values[i] = m.value(c)
		sum += values[i]
	}
	_, err := fmt.Fprintf(w, "| %s | %d | %s | %.3f | %.3f | %.3f |\n", group, len(costs), m.name,
		slices.Min(values), sum/float64(len(values)), slices.Max(values))
	return err
}
