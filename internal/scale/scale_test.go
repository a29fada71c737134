package scale

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
)

// TestTrials plays each trial at small sizes: each finds slopes that can be judged, and says of what lies
// past the largest size that it is extrapolated.
func TestTrials(t *testing.T) {
	for _, trial := range Trials {
		t.Run(trial.Name, func(t *testing.T) {
			var out bytes.Buffer
			found, err := trial.Run(context.Background(), Options{Deployment: Stated, Small: true, Dir: t.TempDir(), Log: io.Discard}, &out)
			if err != nil {
				t.Fatalf("%v\n%s", err, out.String())
			}
			if len(found.Slopes) == 0 {
				t.Error("no slope was found")
			}
			for _, s := range found.Slopes {
				v, err := s.Judge()
				if err != nil {
					t.Error(err)
				}
				if v.Extrapolated && !strings.Contains(out.String(), "extrapolated from "+digits(v.Reached)) {
					t.Errorf("%s: %+v is not called extrapolated", s.Name, v)
				}
			}
			if t.Failed() {
				t.Log(out.String())
			}
		})
	}
}
