package node

import (
	"encoding/json"
	"fmt"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestSilentWatchIsReplaced makes discovery accept a watch and then send nothing while the servers are
// replaced. The node polls again and follows the new list. An earlier version of the node used its
// old list during a whole release of the servers.
func TestSilentWatchIsReplaced(t *testing.T) {
	a, b := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	var calls atomic.Int64
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 || r.URL.Query().Get("after") == "6" {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"seq": 6, "whole": true, "hosts": emulator.InServiceEntries(b.Addr)})
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	n := startNode(t, func(raw map[string]any) { raw["discovery"] = ln.Addr().String() }, a.Addr)
	check.Eventually(t, "discovery has accepted the watch", func() bool { return calls.Load() == 1 })
	began := time.Now()
	id := 0
	check.Eventually(t, "the new server gets requests", func() bool {
		id++
		n.roundTripOnce(lookRequest(fmt.Sprint("w", id)))
		return b.Received.Load() > 0
	})
	if took := time.Since(began); took > 15*time.Second {
		t.Errorf("the node followed the new list after %v, want at most 15 s", took)
	}
}
