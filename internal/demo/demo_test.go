package demo

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestDemo runs a short demo and checks that its table contains every service and class.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	if err := Run(t.Context(), Options{Duration: time.Second, Rate: 60, Seed: 3}, &out); err != nil {
		t.Fatalf("running the demo: %v\noutput:\n%s", err, out.String())
	}
	for _, want := range []string{"orders  credit", "orders    look", "orders   order", "stock    look"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("text %q is missing in the demo's output:\n%s", want, out.String())
		}
	}
}
