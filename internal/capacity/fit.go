package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Series are the samples of one unit of one benchmark.
type Series struct {
	Benchmark, Dimension, Unit string
	Samples                    []Sample
}

// Group puts samples into series, in the order of their first samples.
func Group(samples []Sample) []Series {
	var all []Series
	for _, s := range samples {
		i := slices.IndexFunc(all, func(x Series) bool { return x.Benchmark == s.Benchmark && x.Unit == s.Unit })
		if i < 0 {
			i = len(all)
			all = append(all, Series{Benchmark: s.Benchmark, Dimension: s.Dimension, Unit: s.Unit})
		}
		all[i].Samples = append(all[i].Samples, s)
	}
	return all
}

// Line is a fitted line value = Intercept + Slope * size.
type Line struct {
	Intercept, Slope float64
	// R2 is the share of the variance that the line explains; it is 1 when the
	// values do not vary.
	R2 float64
	// Spread is the largest (max - min) / mean of the runs of one size.
	Spread float64
	// Runs is the least number of runs of a size.
	Runs int
}

// rounding is the share of the squared mean up to which a variance is that of
// rounding errors.
const rounding = 1e-24

// Fit returns the line of least squares through all samples of a series.
func (s *Series) Fit() Line {
	n := float64(len(s.Samples))
	var meanX, meanY float64
	for _, p := range s.Samples {
		meanX += p.Size / n
		meanY += p.Value / n
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
	if xx > 0 && yy > rounding*n*meanY*meanY {
		l.R2 = xy * xy / (xx * yy)
	}
	l.Spread, l.Runs = s.spread()
	return l
}

func (s *Series) spread() (widest float64, runs int) {
	runs = math.MaxInt
	for _, size := range s.Sizes() {
		values := s.at(size)
		runs = min(runs, len(values))
		if m := mean(values); m > 0 {
			widest = max(widest, (slices.Max(values)-slices.Min(values))/m)
		}
	}
	return widest, runs
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
func (s *Series) MeanAt(size float64) float64 { return mean(s.at(size)) }

func (s *Series) at(size float64) []float64 {
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
