package endpoints

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"jasperpin/internal/emulator/testbed"
)

// TestThousandsOfServers plays the incident in small: a real node, built as it is deployed, that has a
// quarter of a core before 3,200 listed servers and hears of a whole list each second. Its clients are
// answered, in time and rightly, whatever lists come.
func TestThousandsOfServers(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "jasperpin")
	if out, err := exec.Command("go", "build", "-o", path, "jasperpin/cmd/jasperpin").CombinedOutput(); err != nil {
		t.Fatalf("building the node: %v: %s", err, out)
	}
	trial := Trial{Servers: 3200, News: Wholes, For: 12 * time.Second, Rate: 30, Deadline: time.Second, Share: 0.25}
	r, err := Run(t.Context(), trial, testbed.Program{Path: path}, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if r.Asked < 300 || r.InTime < r.Asked*95/100 {
		t.Errorf("%d of %d requests were answered in time, %d late, %d refused, %d failed", r.InTime, r.Asked, r.Late, r.Refused, r.Failed)
	}
	if r.Unanswered > 0 {
		t.Errorf("%d requests had no answer half a second after their time", r.Unanswered)
	}
}
