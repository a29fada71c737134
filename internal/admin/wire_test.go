package admin

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestMetricJSON compares the JSON form of metrics, as `ctl figures --json` prints it, with that of an
// earlier version.
func TestMetricJSON(t *testing.T) {
	t.Parallel()
	golden.JSON[Metric](t, "figure")
}
