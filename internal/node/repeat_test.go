package node

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// TestLateRetryIsNotSent resets the first attempt of a keyed request, and lets the connection for its
// retry open only after servers may have forgotten the first attempt: the retry is not sent, and the
// request fails.
func TestLateRetryIsNotSent(t *testing.T) {
	t.Parallel()
	const window = 2 * time.Second
	release := make(chan struct{})
	s, late := check.ScriptedServer(t, resetAfter(release, "r")), startLateServer(t)
	d := startDiscovery(t, s.Addr)
	n := startNode(t, combine(withLongDialTimeout, func(raw map[string]any) {
		raw["discovery"] = d.Addr
		settings := raw["settings"].(map[string]any)
		settings["discovery"] = "push"
		settings["classes"].([]map[string]any)[1]["windowMs"] = window.Milliseconds()
	}), s.Addr)
	began := time.Now()
	answer := n.exchangeAsync(postRequest("order", "r", "Idempotency-Key: 1\r\n", "x"))
	check.Eventually(t, "the first attempt has begun", func() bool { return s.Received.Load() == 1 })
	d.SetList(emulator.InServiceEntries(s.Addr, late.Addr)...)
	check.Eventually(t, "the list has arrived", func() bool {
		return slices.ContainsFunc(n.node.services.Snapshot()[""].Endpoints, func(h core.Endpoint) bool { return h.Addr == late.Addr })
	})
	close(release)
	check.Eventually(t, "the dedup window has passed, or the request has ended", func() bool { return time.Since(began) > window || len(answer) > 0 })
	if err := late.Open(); err != nil {
		t.Fatal(err)
	}
	if got := <-answer; got[:3] == "200" || got[:3] == "429" || got[:3] == "503" {
		t.Errorf("the answer is %q, want a status other than 200, 429 and 503", got)
	}
	if got := late.Received.Load(); got != 0 {
		t.Errorf("the retry was sent %d times, want never", got)
	}
	if status, _, _ := n.roundTripOnce(postRequest("order", "other", "Idempotency-Key: 2\r\n", "x")); status != http.StatusOK {
		t.Errorf("another request was answered %d, want 200", status)
	}
}
