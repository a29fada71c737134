package endpoints

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"jasperpin/internal/emulator/testbed"
)

// TestThousandsOfServers runs a real node, built as it is deployed, with a quarter of a core and a complete list of
// 3,200 servers each second, and checks that its clients are answered in time. Nodes that received such lists
// answered the clients that waited meanwhile late or not at all. (See docs/incidents/2026-12-02-thousands-of-servers.md.)
func TestThousandsOfServers(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "jasperpin")
	if out, err := exec.Command("go", "build", "-o", path, "jasperpin/cmd/jasperpin").CombinedOutput(); err != nil {
		t.Fatalf("building the node: %v: %s", err, out)
	}
	trial := Trial{Servers: 3200, Updates: CompleteLists, Duration: 12 * time.Second, Rate: 30, Deadline: time.Second, CoreShare: 0.25}
	r, err := Run(t.Context(), trial, testbed.Program{Path: path}, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if r.Requests < 300 || r.InTime < r.Requests*95/100 {
		t.Errorf("%d of %d requests were answered in time, %d late, %d rejected, %d failed; want at least 300 requests, 95%% of them in time", r.InTime, r.Requests, r.Late, r.Rejected, r.Failed)
	}
	if r.Unanswered > 0 {
		t.Errorf("%d requests had no answer half a second after their deadline, want none", r.Unanswered)
	}
}
