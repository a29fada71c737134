// Package capacity measures what grows with the size of a deployment, fits how it grows, and says
// what it comes to at a stated size beside what is allowed there. What is measured is in a file for
// each role; slopes, their fits and verdicts are pure.
package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Sample is what was measured at one size.
type Sample struct{ Size, Value float64 }

// Slope is how one figure grows with one size, and what it may come to.
type Slope struct {
	Name    string
	Role    string  // whose figure it is
	Unit    string  // of the values
	By      string  // what the size counts
	Stated  float64 // the size that has to be carried
	Allowed float64 // of the value at that size; 0 where none is stated
	Runs    int     // that each value is the median of
	Samples []Sample
}

// leastSizes is how many sizes a slope takes: with fewer nothing is left to tell the error by.
const leastSizes = 4

// straight is the exponent up to which growth is called linear: chance moves it by some hundredths,
// and a constant part beside a linear one makes it smaller.
const straight = 1.15

// Form is a curve of two parameters.
type Form uint8

// A line is a + b x, a square a + b x², a power a x^b.
const (
	Line Form = iota
	Square
	Power
)

// Fit is a curve through a slope's samples.
type Fit struct {
	Form Form
	A, B float64
	// Error is the residuals' root mean square, as a part of the values.
	Error float64
	// Exponent is that of growth by the logarithms, with its standard error.
	Exponent, ExponentError float64
	// Foretold is how far the curve through the smaller sizes misses the largest, as a part of it.
	Foretold float64
}

// ErrSamples says that a slope cannot be fitted.
var ErrSamples = errors.New("want four sizes or more, each above 0 and another, with values above 0")

// At is the curve's value at a size.
func (f Fit) At(size float64) float64 {
	switch f.Form {
	case Square:
		return f.A + f.B*size*size
	case Power:
		return f.A * math.Pow(size, f.B)
	}
	return f.A + f.B*size
}

// Growth says in words how the figure grows.
func (f Fit) Growth() string {
	switch {
	case f.Exponent+2*f.ExponentError > straight && f.Exponent > straight:
		return "worse than linear"
	case f.Exponent < 0.1:
		return "flat"
	case f.Exponent < 1/straight:
		return "below linear"
	}
	return "linear"
}

// String is the curve as a formula of x.
func (f Fit) String() string {
	switch f.Form {
	case Square:
		return fmt.Sprintf("%.4g + %.4g x²", f.A, f.B)
	case Power:
		return fmt.Sprintf("%.4g x^%.3f", f.A, f.B)
	}
	return fmt.Sprintf("%.4g + %.4g x", f.A, f.B)
}

// Fit fits the curve that leaves the least error. A line that comes close is taken before others: it
// supposes the least.
func (s Slope) Fit() (Fit, error) {
	if len(s.Samples) < leastSizes {
		return Fit{}, fmt.Errorf("%s: %w", s.Name, ErrSamples)
	}
	seen := make(map[float64]bool)
	for _, p := range s.Samples {
		if !(p.Size > 0) || !(p.Value > 0) || math.IsInf(p.Size+p.Value, 0) || seen[p.Size] {
			return Fit{}, fmt.Errorf("%s: %w", s.Name, ErrSamples)
		}
		seen[p.Size] = true
	}
	best := fit(s.Samples)
	rest := s.Samples[:len(s.Samples)-1]
	last := s.Samples[len(s.Samples)-1]
	best.Foretold = math.Abs(form(best.Form, rest).At(last.Size)-last.Value) / last.Value
	return best, nil
}

// near is the error within which a line is taken whatever another curve leaves.
const near = 0.1

func fit(samples []Sample) Fit {
	x, y := logs(samples)
	a, b := stat.LinearRegression(x, y, nil, false)
	best, others := form(Line, samples), []Form{Power}
	if b > straight {
		others = append(others, Square)
	}
	if best.Error > near {
		for _, f := range others {
			if c := form(f, samples); c.Error < best.Error {
				best = c
			}
		}
	}
	best.Exponent, best.ExponentError = b, slopeError(x, y, a, b)
	return best
}

// form fits one curve. Each sample weighs by its value, so that errors count as parts of it: sizes
// lie decades apart.
func form(f Form, samples []Sample) Fit {
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

func logs(samples []Sample) (x, y []float64) {
	for _, p := range samples {
		x, y = append(x, math.Log(p.Size)), append(y, math.Log(p.Value))
	}
	return x, y
}

// slopeError is the standard error of a regression's slope.
func slopeError(x, y []float64, a, b float64) float64 {
	mean, rest, spread := stat.Mean(x, nil), 0.0, 0.0
	for i := range x {
		e := y[i] - a - b*x[i]
		rest += e * e
		spread += (x[i] - mean) * (x[i] - mean)
	}
	return math.Sqrt(rest / float64(len(x)-2) / spread)
}

// Verdict is what a slope comes to at the stated size.
type Verdict struct {
	Fit
	Value   float64 // there
	Reached float64 // the largest size that was measured
	// Extrapolated says that the stated size lies past it.
	Extrapolated bool
	Over         bool
	Factor       float64 // of the allowance; 0 where none is stated
}

// Judge holds a slope against what is allowed. What was measured at the stated size counts before
// any curve.
func (s Slope) Judge() (Verdict, error) {
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
