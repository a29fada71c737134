package demo

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestDemo runs a short demo and looks for every service and class in its table.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	if err := Run(t.Context(), Options{For: time.Second, Rate: 60, Seed: 3}, &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{"orders  credit", "orders    look", "orders   order", "stock    look"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}
