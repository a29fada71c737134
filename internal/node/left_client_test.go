package node

import (
	"net/http"
	"testing"

	"jasperpin/internal/emulator/check"
)

// TestRequestIDOfLeftClientStaysInUse guards against a request id that runs twice: a client leaves after its request has
// reached a server, and the request ends. Another client then sends the same id: it is rejected, as servers would run it
// again.
func TestRequestIDOfLeftClientStaysInUse(t *testing.T) {
	for name, change := range map[string]func(map[string]any){"cancelled": nil, "not cancelled": withoutCancellation} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			server := check.ScriptedServer(t, holdUntil(release, ""))
			n := startNode(t, change, server.Addr)
			client := n.dial()
			writeString(t, client, postRequest("credit", "left", "", "x"))
			check.Eventually(t, "the request reached the server", func() bool { return server.Received.Load() == 1 })
			client.Close()
			n.awaitOpenRequests(0)
			close(release)
			if status, _, _ := n.roundTripOnce(postRequest("credit", "left", "", "x")); status != http.StatusConflict {
				t.Errorf("the id of a client that has left was answered %d, want %d", status, http.StatusConflict)
			}
			if status, _, _ := n.roundTripOnce(postRequest("credit", "other", "", "x")); status != http.StatusOK {
				t.Errorf("another id was answered %d, want %d", status, http.StatusOK)
			}
			if got := server.Received.Load(); got != 2 {
				t.Errorf("the server got %d requests, want one of each id", got)
			}
		})
	}
}
