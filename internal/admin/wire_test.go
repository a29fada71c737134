package admin

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestMetricForm compares the metrics as `ctl figures --json` prints them with an earlier version's.
func TestMetricForm(t *testing.T) {
	t.Parallel()
	golden.JSON[Metric](t, "figure")
}
