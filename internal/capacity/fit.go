package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Series holds the samples of one unit of one benchmark.
type Series struct {
	Benchmark, Dimension, Unit string
	Samples                    []Sample
}

// Group groups samples by benchmark and unit. The series are in the order of their first
// samples.
func Group(samples []Sample) []Series {
	var series []Series
	for _, s := range samples {
		i := slices.IndexFunc(series, func(x Series) bool { return x.Benchmark == s.Benchmark && x.Unit == s.Unit })
		if i < 0 {
			i = len(series)
			series = append(series, Series{Benchmark: s.Benchmark, Dimension: s.Dimension, Unit: s.Unit})
		}
		series[i].Samples = append(series[i].Samples, s)
	}
	return series
}

// Line is the regression line value = Intercept + Slope * size.
type Line struct {
	Intercept, Slope float64
	// R2 is the coefficient of determination; it is 1 when the values do not vary.
	R2 float64
	// Spread is the maximum over all sizes of the relative range of the runs,
	// (max - min) / mean.
	Spread float64
	// Runs is the minimum number of runs per size.
	Runs int
}

// roundingVariance is the largest variance, relative to the squared mean, that is
// attributed to rounding errors.
const roundingVariance = 1e-24

// Fit returns the least-squares regression line of all samples of a series.
func (s *Series) Fit() Line {
	count := float64(len(s.Samples))
	var meanX, meanY float64
	for _, p := range s.Samples {
		meanX += p.Size / count
		meanY += p.Value / count
	}
	var xx, xy, yy float64
	for _, p := range s.Samples {
		dx, dy := p.Size-meanX, p.Value-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	var l Line
	if xx > 0 {
		l.Slope = xy / xx
	}
	l.Intercept = meanY - l.Slope*meanX
	l.R2 = 1
	if xx > 0 && yy > roundingVariance*count*meanY*meanY {
		l.R2 = xy * xy / (xx * yy)
	}
	l.Spread, l.Runs = s.spread()
	return l
}

// spread returns the values of Line.Spread and Line.Runs.
func (s *Series) spread() (largest float64, runs int) {
	runs = math.MaxInt
	for _, size := range s.Sizes() {
		values := s.valuesAt(size)
		runs = min(runs, len(values))
		if meanValue := mean(values); meanValue > 0 {
			largest = max(largest, (slices.Max(values)-slices.Min(values))/meanValue)
		}
	}
	return largest, runs
}

// Sizes returns the measured sizes in ascending order.
func (s *Series) Sizes() []float64 {
	var sizes []float64
	for _, p := range s.Samples {
		if !slices.Contains(sizes, p.Size) {
			sizes = append(sizes, p.Size)
		}
	}
	slices.SortFunc(sizes, cmp.Compare)
	return sizes
}

// MeanAt returns the mean of the runs at a measured size.
func (s *Series) MeanAt(size float64) float64 { return mean(s.valuesAt(size)) }

func (s *Series) valuesAt(size float64) []float64 {
	var values []float64
	for _, p := range s.Samples {
		if p.Size == size {
			values = append(values, p.Value)
		}
	}
	return values
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
