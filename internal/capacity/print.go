package capacity

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Print prints slopes with their verdicts, a table for each role.
func Print(out io.Writer, slopes []Slope) error {
	var roles []string
	for _, s := range slopes {
		if !slices.Contains(roles, s.Role) {
			roles = append(roles, s.Role)
		}
	}
	for _, role := range roles {
		if err := printRole(out, role, slopes); err != nil {
			return err
		}
	}
	return nil
}

// printRole prints the table of one role.
func printRole(out io.Writer, role string, slopes []Slope) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tunit\tby\tmeasured, size: value\tfit of x\terror\texponent\tgrows\tat\tcomes to\tallowed\t\n", role)
	for _, s := range slopes {
		if s.Role != role {
			continue
		}
		row, err := s.tableRow()
		if err != nil {
			return err
		}
		fmt.Fprintln(w, row)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing a table: %w", err)
	}
	return nil
}

// tableRow returns the slope's row, with a tab after each cell. A slope that cannot be fitted has a row, too:
// usually its values are too small to be measured.
func (s Slope) tableRow() (string, error) {
	var measured []string
	for _, p := range s.Samples {
		measured = append(measured, digits(p.Size)+": "+digits(p.Value))
	}
	head := fmt.Sprintf("%s\t%s\t%s\t%s", s.Name, s.Unit, s.SizeUnit, strings.Join(measured, ", "))
	v, err := s.Evaluate()
	if errors.Is(err, ErrSamples) {
		return fmt.Sprintf("%s\tnone: %v\t\t\t\t\t\t\t", head, ErrSamples), nil
	}
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s\t%v\t%.0f%%, last predicted to %.0f%%\t%.2f ± %.2f\t%s\t%s\t%s\t%s\t", head,
		v.Fit, 100*v.Error, 100*v.PredictionError, v.Exponent, v.ExponentError, v.Growth(), s.sizeText(v), digits(v.Value), s.verdictText(v)), nil
}

// sizeText returns the size of the value and, for an extrapolated value, the largest measured size.
func (s Slope) sizeText(v Verdict) string {
	if v.Extrapolated {
		return digits(s.Stated) + ", extrapolated from " + digits(v.Reached)
	}
	return digits(s.Stated)
}

// verdictText returns the limit, and whether the value is within it.
func (s Slope) verdictText(v Verdict) string {
	switch {
	case s.Allowed == 0:
		return "-"
	case v.Over:
		return fmt.Sprintf("%s: **over**, %.1f times", digits(s.Allowed), v.Factor)
	}
	return fmt.Sprintf("%s: *holds*, %.0f%%", digits(s.Allowed), 100*v.Factor)
}

// digits formats a number with three significant digits, or without a fraction.
func digits(v float64) string {
	if v == 0 || math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', min(4, max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))), 64)
}
