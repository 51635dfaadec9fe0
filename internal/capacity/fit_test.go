package capacity

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const benchmarkOutput = `goos: linux
pkg: laburnumroad.dev/laburnumroad/internal/daemon
BenchmarkRows/budgets=10-10         	     100	        150 ns/op	     10300 heap-B
BenchmarkRows/budgets=20-10         	     100	        250 ns/op	     20300 heap-B
BenchmarkRows/budgets=20-10         	     100	        250 ns/op	     20500 heap-B
BenchmarkRows/budgets=30            	     100	        350 ns/op	     30300 heap-B
BenchmarkRows/budgets=40-10         	     100	        450 ns/op	     40300 heap-B
BenchmarkNoSize-10                  	     100	        450 ns/op
PASS
`

// Guards against results that are skipped or assigned to the wrong unit or size.
func TestParseReadsAllResultsWithSize(t *testing.T) {
	samples, err := Parse(strings.NewReader(benchmarkOutput))
	require.NoError(t, err)
	require.Len(t, samples, 10)
	require.Equal(t, Sample{"Rows", "budgets", 20, "heap-B", 20_300}, samples[3])
	series := Group(samples)
	require.Len(t, series, 2)
	require.Equal(t, []float64{10, 20, 30, 40}, series[1].Sizes())
	require.InDelta(t, 20_400, series[1].MeanAt(20), 1e-9)
}

// Guards against a wrong slope or intercept: for points on a line, the fit is that line.
func TestFitIsExactForCollinearPoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intercept := rapid.Float64Range(-1e6, 1e6).Draw(t, "intercept")
		slope := rapid.Float64Range(1, 1e4).Draw(t, "slope")
		var s Series
		for _, size := range rapid.SliceOfNDistinct(rapid.IntRange(1, 1_000_000), 4, 8, rapid.ID[int]).Draw(t, "sizes") {
			s.Samples = append(s.Samples, Sample{Size: float64(size), Value: intercept + slope*float64(size)})
		}
		l := s.Fit()
		require.InEpsilon(t, slope, l.Slope, 1e-6)
		require.InDelta(t, intercept, l.Intercept, 1)
		require.InDelta(t, 1, l.R2, 1e-9)
	})
}

// Guards against a spread that averages out the noise of one size over the others.
func TestSpreadIsTheMaximumOverSizes(t *testing.T) {
	s := Series{Samples: []Sample{
		{Size: 1, Value: 100}, {Size: 1, Value: 100}, {Size: 2, Value: 80}, {Size: 2, Value: 120},
	}}
	l := s.Fit()
	require.InDelta(t, 0.4, l.Spread, 1e-9)
	require.Equal(t, 2, l.Runs)
}

// Guards against reporting a fit for a series with too few sizes.
func TestTableOmitsSeriesWithFewSizes(t *testing.T) {
	samples, err := Parse(strings.NewReader(benchmarkOutput))
	require.NoError(t, err)
	samples = append(samples, Sample{"Short", "n", 1, "ns/op", 5})
	var b strings.Builder
	require.NoError(t, WriteTable(&b, Group(samples)))
	require.Contains(t, b.String(), "| Rows | ns/op | budgets = 10, 20, 30, 40 | 50 | 10 | 1.000 | 450 | 1 | 0% |")
	require.NotContains(t, b.String(), "Short")
}
