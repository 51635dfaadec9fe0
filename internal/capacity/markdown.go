package capacity

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// minSizes is the number of sizes that a series needs for a meaningful fit.
const minSizes = 4

// WriteTable writes the fits of all series as a Markdown table. It omits series with
// fewer than four sizes.
func WriteTable(w io.Writer, series []Series) error {
	const header = "| benchmark | unit | sizes | intercept | slope per unit of size | R^2 | mean at the largest size | runs | spread |\n" +
		"|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for i := range series {
		if len(series[i].Sizes()) < minSizes {
			continue
		}
		if _, err := io.WriteString(w, formatRow(&series[i])); err != nil {
			return err
		}
	}
	return nil
}

func formatRow(s *Series) string {
	l := s.Fit()
	sizes := s.Sizes()
	formattedSizes := make([]string, len(sizes))
	for i, size := range sizes {
		formattedSizes[i] = strconv.FormatFloat(size, 'f', -1, 64)
	}
	return fmt.Sprintf("| %s | %s | %s = %s | %s | %s | %.3f | %s | %d | %.0f%% |\n",
		s.Benchmark, s.Unit, s.Dimension, strings.Join(formattedSizes, ", "),
		formatNumber(l.Intercept), formatNumber(l.Slope), l.R2, formatNumber(s.MeanAt(sizes[len(sizes)-1])), l.Runs, 100*l.Spread)
}

// formatNumber formats v with four significant digits and without an exponent.
func formatNumber(v float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 4, 64), 64)
	if err != nil {
		return "?"
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
