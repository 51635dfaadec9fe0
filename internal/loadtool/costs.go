package loadtool

import (
	"fmt"
	"io"
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// Cost is what one daemon used per second of the interval, and its memory at
// the end of it.
type Cost struct {
	// Control is the share of a core inside ticks, CPU that of the process.
	Control, CPU float64
	TicksPerSec  float64
	LongestTick  float64 // seconds
	InPerSec     float64 // bytes
	OutPerSec    float64 // bytes
	Heap         float64 // bytes in use
	Resident     float64 // bytes
	AllocPerSec  float64 // bytes
	PausePerSec  float64 // seconds of garbage collection pauses
}

// Costs are the costs of all daemons by group.
type Costs struct {
	Groups []string
	ByName map[string][]Cost
	// Failed names the daemons that could not be read, with the reason.
	Failed []string
}

func costsOf(rows *table.Table[string, observed]) *Costs {
	c := &Costs{ByName: map[string][]Cost{}}
	rows.Each(func(name string, o *observed) {
		if o.err != nil {
			c.Failed = append(c.Failed, name+": "+o.err.Error())
			return
		}
		if !slices.Contains(c.Groups, o.Group) {
			c.Groups = append(c.Groups, o.Group)
		}
		c.ByName[o.Group] = append(c.ByName[o.Group], costOf(&o.first, &o.last))
	})
	return c
}

func costOf(first, last *reading) Cost {
	seconds := last.At.Sub(first.At).Seconds()
	if seconds <= 0 {
		return Cost{}
	}
	const ns = 1e9
	return Cost{
		Control:     (last.BusyNS - first.BusyNS) / ns / seconds,
		CPU:         (last.cpuSeconds - first.cpuSeconds) / seconds,
		TicksPerSec: (last.Ticks - first.Ticks) / seconds,
		LongestTick: last.LongestNS / ns,
		InPerSec:    (last.BytesIn - first.BytesIn) / seconds,
		OutPerSec:   (last.BytesOut - first.BytesOut) / seconds,
		Heap:        last.Memstats.HeapInuse,
		Resident:    last.residentBytes,
		AllocPerSec: (last.Memstats.TotalAlloc - first.Memstats.TotalAlloc) / seconds,
		PausePerSec: (last.Memstats.PauseTotalNs - first.Memstats.PauseTotalNs) / ns / seconds,
	}
}

// column is a figure of the table of costs.
type column struct {
	name  string
	value func(Cost) float64
}

var columns = []column{
	{"control, % of a core", func(c Cost) float64 { return 100 * c.Control }},
	{"process, % of a core", func(c Cost) float64 { return 100 * c.CPU }},
	{"ticks/s", func(c Cost) float64 { return c.TicksPerSec }},
	{"longest tick, ms", func(c Cost) float64 { return 1e3 * c.LongestTick }},
	{"peer in, KB/s", func(c Cost) float64 { return c.InPerSec / 1e3 }},
	{"peer out, KB/s", func(c Cost) float64 { return c.OutPerSec / 1e3 }},
	{"heap, MB", func(c Cost) float64 { return c.Heap / 1e6 }},
	{"resident, MB", func(c Cost) float64 { return c.Resident / 1e6 }},
	{"allocated, KB/s", func(c Cost) float64 { return c.AllocPerSec / 1e3 }},
	{"pauses, us/s", func(c Cost) float64 { return 1e6 * c.PausePerSec }},
}

// Write prints the least, the mean and the largest cost of each group.
func (c *Costs) Write(w io.Writer) error {
	if _, err := io.WriteString(w, "| group | daemons | figure | least | mean | largest |\n|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, group := range c.Groups {
		for _, col := range columns {
			if err := writeColumn(w, group, c.ByName[group], col); err != nil {
				return err
			}
		}
	}
	for _, f := range c.Failed {
		if _, err := fmt.Fprintf(w, "\nnot read: %s\n", f); err != nil {
			return err
		}
	}
	return nil
}

func writeColumn(w io.Writer, group string, costs []Cost, col column) error {
	values := make([]float64, len(costs))
	sum := 0.0
	for i, c := range costs {
		values[i] = col.value(c)
		sum += values[i]
	}
	_, err := fmt.Fprintf(w, "| %s | %d | %s | %.3f | %.3f | %.3f |\n", group, len(costs), col.name,
		slices.Min(values), sum/float64(len(values)), slices.Max(values))
	return err
}
