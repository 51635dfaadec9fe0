// Package capacity fits regression lines to the results of the capacity benchmarks.
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Sample is one reported value of one benchmark run.
type Sample struct {
	// Benchmark is the name without the prefix "Benchmark".
	Benchmark string
	// Dimension is the name of the parameter that the benchmark varies, Size its value.
	Dimension string
	Size      float64
	Unit      string
	Value     float64
}

// resultPattern matches "BenchmarkName/dimension=size-procs  iterations  results". The
// "-procs" suffix is optional: go test omits it if GOMAXPROCS is 1.
var resultPattern = regexp.MustCompile(`^Benchmark(\w+)/(\w+)=(\d+)(?:-\d+)?\s+\d+\s+(.+)$`)

// Parse parses the output of "go test -bench". It skips lines that are not results of a
// benchmark with a size.
func Parse(r io.Reader) ([]Sample, error) {
	var samples []Sample
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		match := resultPattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		size, err := strconv.ParseFloat(match[3], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "parse size in %q", scanner.Text())
		}
		parsed, err := parseResults(Sample{Benchmark: match[1], Dimension: match[2], Size: size}, match[4])
		if err != nil {
			return nil, err
		}
		samples = append(samples, parsed...)
	}
	return samples, errors.Wrap(scanner.Err(), "read benchmark output")
}

// parseResults parses pairs of a value and its unit. It returns a copy of s for each
// pair.
func parseResults(s Sample, text string) ([]Sample, error) {
	fields := strings.Fields(text)
	if len(fields)%2 != 0 {
		return nil, errors.Errorf("results are not pairs of value and unit: %q", text)
	}
	var samples []Sample
	for i := 0; i < len(fields); i += 2 {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "parse value of %s", s.Benchmark)
		}
		s.Value, s.Unit = v, fields[i+1]
		samples = append(samples, s)
	}
	return samples, nil
}
