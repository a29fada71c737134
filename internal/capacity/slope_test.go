package capacity

import (
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "jasperpin/internal/seeded"
)

// TestFitFindsCurve checks that a curve of each form is recovered from samples with some noise.
func TestFitFindsCurve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(1, 100).Draw(t, "a"), rapid.Float64Range(0.5, 10).Draw(t, "b")
		noise := rapid.SliceOfN(rapid.Float64Range(-0.02, 0.02), 5, 5).Draw(t, "noise")
		shape := rapid.SampledFrom([]Form{Line, Square}).Draw(t, "form")
		s := Slope{Name: "x", Stated: 10_000}
		truth := Fit{Form: shape, A: a, B: b}
		for i, size := range []float64{10, 30, 100, 300, 1000} {
			s.Samples = append(s.Samples, Sample{size, truth.At(size) * (1 + noise[i])})
		}
		v, err := s.Evaluate()
		if err != nil {
			t.Fatal(err)
		}
		if off := math.Abs(v.Value/truth.At(s.Stated) - 1); off > 0.1 {
			t.Fatalf("the curve %v was fitted by %v: %.0f%% off at the stated size, want at most 10%%", truth, v.Fit, 100*off)
		}
		if !v.Extrapolated || v.Reached != 1000 || v.PredictionError > 0.15 {
			t.Fatalf("verdict %+v: want it extrapolated from size 1000, with a prediction error of at most 0.15", v)
		}
		if worse := v.Growth() == "worse than linear"; worse != (shape == Square) {
			t.Fatalf("the curve %v was classified as %s with the exponent %.2f, want worse than linear for a square only", truth, v.Growth(), v.Exponent)
		}
	})
}

// TestEvaluatePrefersMeasured checks that a value measured at the stated size takes precedence over the curve, and is
// compared with the limit.
func TestEvaluatePrefersMeasured(t *testing.T) {
	s := Slope{Name: "x", Stated: 40, Allowed: 39, Samples: []Sample{{10, 10}, {20, 20}, {30, 30}, {40, 39.5}}}
	v, err := s.Evaluate()
	if err != nil || v.Value != 39.5 || v.Extrapolated || !v.Over || v.Growth() != "linear" {
		t.Errorf("verdict on a measured value above its limit: got %+v, error %v, want the value 39.5, over, with linear growth", v, err)
	}
	s.Allowed = 39.5
	if v, err = s.Evaluate(); err != nil || v.Over || v.Factor != 1 {
		t.Errorf("verdict on a value equal to its limit: got %+v, error %v, want the factor 1 and not over", v, err)
	}
	s.Stated, s.Allowed = 400, 0
	if v, err = s.Evaluate(); err != nil || v.Over || !v.Extrapolated || math.Abs(v.Value-400) > 10 {
		t.Errorf("verdict without a limit: got %+v, error %v, want an extrapolated value within 10 of 400", v, err)
	}
	for _, bad := range [][]Sample{
		s.Samples[:3],
		{{10, 1}, {10, 2}, {30, 3}, {40, 4}},
		{{0, 1}, {10, 2}, {30, 3}, {40, 4}},
		{{5, 0}, {10, 2}, {30, 3}, {40, 4}},
		{{5, math.NaN()}, {10, 2}, {30, 3}, {40, 4}},
		{{5, math.Inf(1)}, {10, 2}, {30, 3}, {40, 4}},
	} {
		if _, err := (Slope{Samples: bad}).Evaluate(); !errors.Is(err, ErrSamples) {
			t.Errorf("evaluating invalid samples %v: got error %v, want ErrSamples", bad, err)
		}
	}
}
