// Package capacity measures costs that grow with the size of a deployment, fits curves to them, and compares
// their values at the stated size with the limits at that size.
//
// A Trial measures Slopes; each trial has its own file. Slope.Evaluate fits a curve and returns the Verdict; slopes,
// fits and verdicts are pure. Names, roles and units of slopes are the operators' terms, as journals of earlier
// runs and docs/CAPACITY.md have them.
package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Sample is a value measured at one size.
type Sample struct{ Size, Value float64 }

// Slope is the growth of one cost with one size, and the limit of the cost.
type Slope struct {
	Name     string
	Role     string  // part of the program that has the cost
	Unit     string  // unit of the values
	SizeUnit string  // quantity that the size counts
	Stated   float64 // size of the deployment, at which the cost is judged
	Allowed  float64 // limit of the value at the stated size; 0 for no limit
	Runs     int     // number of runs; each value is their median
	Samples  []Sample
}

// minSizes is the number of sizes that a slope needs: with fewer, the error of a fit cannot be estimated.
const minSizes = 4

const (
	// maxLinearExponent is the largest exponent of linear growth. Noise changes an exponent by some hundredths,
	// and a constant part of the cost lowers it.
	maxLinearExponent = 1.15
	// maxFlatExponent is the exponent below which a cost counts as constant.
	maxFlatExponent = 0.1
)

// Form is a curve of two parameters.
type Form uint8

// The forms of curves.
const (
	Line   Form = iota // a + b x
	Square             // a + b x²
	Power              // a x^b
)

// Fit is a curve through a slope's samples.
type Fit struct {
	Form Form
	A, B float64
	// Error is the root mean square of the residuals, relative to the values.
	Error float64
	// Exponent is the slope of the regression of logarithms, with its standard error.
	Exponent, ExponentError float64
	// PredictionError is the error at the largest size of a curve through all other sizes, relative to the value.
	PredictionError float64
}

// ErrSamples is returned for a slope that cannot be fitted, for example if its runs were too short to measure a
// value.
var ErrSamples = errors.New("want at least four different sizes above 0, with values above 0")

// At returns the curve's value at a size.
func (f Fit) At(size float64) float64 {
	switch f.Form {
	case Square:
		return f.A + f.B*size*size
	case Power:
		return f.A * math.Pow(size, f.B)
	}
	return f.A + f.B*size
}

// Growth classifies the growth of the cost.
func (f Fit) Growth() string {
	switch {
	case f.Exponent+2*f.ExponentError > maxLinearExponent && f.Exponent > maxLinearExponent:
		return "worse than linear"
	case f.Exponent < maxFlatExponent:
		return "flat"
	case f.Exponent < 1/maxLinearExponent:
		return "below linear"
	}
	return "linear"
}

// String returns the curve as a formula of x.
func (f Fit) String() string {
	switch f.Form {
	case Square:
		return fmt.Sprintf("%.4g + %.4g x²", f.A, f.B)
	case Power:
		return fmt.Sprintf("%.4g x^%.3f", f.A, f.B)
	}
	return fmt.Sprintf("%.4g + %.4g x", f.A, f.B)
}

// Fit fits the curve with the least error. A line with a small error is preferred, because it has the
// fewest assumptions.
func (s Slope) Fit() (Fit, error) {
	if !s.canBeFitted() {
		return Fit{}, fmt.Errorf("%s: %w", s.Name, ErrSamples)
	}
	best := fitBest(s.Samples)
	rest := s.Samples[:len(s.Samples)-1]
	last := s.Samples[len(s.Samples)-1]
	best.PredictionError = math.Abs(fitForm(best.Form, rest).At(last.Size)-last.Value) / last.Value
	return best, nil
}

// canBeFitted reports whether there are enough sizes, all different, with positive finite values.
func (s Slope) canBeFitted() bool {
	seen := make(map[float64]bool)
	for _, p := range s.Samples {
		if !(p.Size > 0) || !(p.Value > 0) || math.IsInf(p.Size+p.Value, 0) || seen[p.Size] {
			return false
		}
		seen[p.Size] = true
	}
	return len(s.Samples) >= minSizes
}

// forFigure returns a slope over the same sizes for another cost, without samples.
func (s Slope) forFigure(name, unit string, allowed float64) *Slope {
	s.Name, s.Unit, s.Allowed, s.Samples = name, unit, allowed, nil
	return &s
}

// add appends a sample.
func (s *Slope) add(size int, value float64) {
	s.Samples = append(s.Samples, Sample{float64(size), value})
}

// closeLineError is the error below which a line is preferred to all other curves.
const closeLineError = 0.1

// fitBest returns the curve that Slope.Fit documents.
func fitBest(samples []Sample) Fit {
	x, y := logs(samples)
	a, b := stat.LinearRegression(x, y, nil, false)
	best, others := fitForm(Line, samples), []Form{Power}
	if b > maxLinearExponent {
		others = append(others, Square)
	}
	if best.Error > closeLineError {
		for _, f := range others {
			if c := fitForm(f, samples); c.Error < best.Error {
				best = c
			}
		}
	}
	best.Exponent, best.ExponentError = b, exponentError(x, y, a, b)
	return best
}

// fitForm fits a curve of one form. Samples are weighted so that errors are relative to the values: sizes
// differ by orders of magnitude.
func fitForm(f Form, samples []Sample) Fit {
	x, y, weights := make([]float64, len(samples)), make([]float64, len(samples)), make([]float64, len(samples))
	for i, p := range samples {
		x[i], y[i], weights[i] = p.Size, p.Value, 1/(p.Value*p.Value)
		if f == Square {
			x[i] *= p.Size
		}
	}
	fit := Fit{Form: f}
	if f == Power {
		x, y = logs(samples)
		a, b := stat.LinearRegression(x, y, nil, false)
		fit.A, fit.B = math.Exp(a), b
	} else {
		fit.A, fit.B = stat.LinearRegression(x, y, weights, false)
	}
	sq := 0.0
	for _, p := range samples {
		e := (fit.At(p.Size) - p.Value) / p.Value
		sq += e * e
	}
	fit.Error = math.Sqrt(sq / float64(len(samples)))
	return fit
}

// logs returns the logarithms of sizes and values.
func logs(samples []Sample) (x, y []float64) {
	for _, p := range samples {
		x, y = append(x, math.Log(p.Size)), append(y, math.Log(p.Value))
	}
	return x, y
}

// exponentError returns the standard error of the slope b of a regression.
func exponentError(x, y []float64, a, b float64) float64 {
	mean, rest, spread := stat.Mean(x, nil), 0.0, 0.0
	for i := range x {
		e := y[i] - a - b*x[i]
		rest += e * e
		spread += (x[i] - mean) * (x[i] - mean)
	}
	return math.Sqrt(rest / float64(len(x)-2) / spread)
}

// Verdict is the value of a cost at the stated size, compared with its limit.
type Verdict struct {
	Fit
	Value   float64 // value of the cost at the stated size
	Reached float64 // largest measured size
	// Extrapolated reports whether the stated size is larger than Reached.
	Extrapolated bool
	Over         bool    // the value is above the limit
	Factor       float64 // value divided by the limit; 0 for no limit
}

// Evaluate compares a cost with its limit. A value that was measured at the stated size takes precedence over the
// curve.
func (s Slope) Evaluate() (Verdict, error) {
	f, err := s.Fit()
	if err != nil {
		return Verdict{}, err
	}
	v := Verdict{Fit: f, Value: max(0, f.At(s.Stated))}
	for _, p := range s.Samples {
		v.Reached = max(v.Reached, p.Size)
		if p.Size == s.Stated {
			v.Value = p.Value
		}
	}
	v.Extrapolated = v.Reached < s.Stated
	if s.Allowed > 0 {
		v.Factor = v.Value / s.Allowed
		v.Over = v.Factor > 1
	}
	return v, nil
}
