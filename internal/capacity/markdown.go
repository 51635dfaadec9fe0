package capacity

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// leastSizes is the number of sizes below which a line says nothing.
const leastSizes = 4

// WriteTable writes the fits of all series as a Markdown table. Series with
// fewer than four sizes are left out.
func WriteTable(w io.Writer, all []Series) error {
	const head = "| benchmark | unit | sizes | intercept | slope per unit of size | R^2 | mean at the largest size | runs | spread |\n" +
		"|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for i := range all {
		if len(all[i].Sizes()) < leastSizes {
			continue
		}
		if _, err := io.WriteString(w, row(&all[i])); err != nil {
			return err
		}
	}
	return nil
}

func row(s *Series) string {
	l := s.Fit()
	sizes := s.Sizes()
	names := make([]string, len(sizes))
	for i, size := range sizes {
		names[i] = strconv.FormatFloat(size, 'f', -1, 64)
	}
	return fmt.Sprintf("| %s | %s | %s = %s | %s | %s | %.3f | %s | %d | %.0f%% |\n",
		s.Benchmark, s.Unit, s.Dimension, strings.Join(names, ", "),
		number(l.Intercept), number(l.Slope), l.R2, number(s.MeanAt(sizes[len(sizes)-1])), l.Runs, 100*l.Spread)
}

// number prints four significant digits without an exponent.
func number(v float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 4, 64), 64)
	if err != nil {
		return "?"
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
