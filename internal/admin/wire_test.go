package admin

import (
	"testing"

	"jasperpin/internal/golden"
)

// TestFigureForm holds the figures as --json shows them to the form of an earlier version.
func TestFigureForm(t *testing.T) {
	t.Parallel()
	golden.JSON[Metric](t, "figure")
}
