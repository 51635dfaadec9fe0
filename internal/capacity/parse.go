// Package capacity fits lines through the results of the capacity benchmarks.
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Sample is one result of one run of a benchmark.
type Sample struct {
	// Benchmark is the name without the prefix "Benchmark".
	Benchmark string
	// Dimension is what the benchmark varies, Size its value.
	Dimension string
	Size      float64
	Unit      string
	Value     float64
}

// line matches "BenchmarkName/dimension=size-procs  iterations  results".
var line = regexp.MustCompile(`^Benchmark(\w+)/(\w+)=(\d+)(?:-\d+)?\s+\d+\s+(.+)$`)

// Parse reads the output of "go test -bench". Lines that are not results of a
// benchmark with a size are skipped.
func Parse(r io.Reader) ([]Sample, error) {
	var samples []Sample
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		m := line.FindStringSubmatch(scanner.Text())
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "size of %q", scanner.Text())
		}
		found, err := parseResults(Sample{Benchmark: m[1], Dimension: m[2], Size: size}, m[4])
		if err != nil {
			return nil, err
		}
		samples = append(samples, found...)
	}
	return samples, errors.Wrap(scanner.Err(), "read benchmark output")
}

// parseResults reads pairs of a value and its unit.
func parseResults(s Sample, text string) ([]Sample, error) {
	fields := strings.Fields(text)
	if len(fields)%2 != 0 {
		return nil, errors.Errorf("results %q are not pairs of value and unit", text)
	}
	var samples []Sample
	for i := 0; i < len(fields); i += 2 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "value of %s", s.Benchmark)
		}
		s.Value, s.Unit = v, fields[i+1]
		samples = append(samples, s)
	}
	return samples, nil
}
