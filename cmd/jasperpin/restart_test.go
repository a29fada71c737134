package main

import (
	"os"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
)

// TestRestartTogether kills many processes at once and starts them together, with a discovery server that is
// overloaded: nine in ten are ready within ten seconds, and all within thirty.
func TestRestartTogether(t *testing.T) {
	const nodes, readyWithin = 30, 10 * time.Second
	server := check.ScriptedServer(t, emulator.Echo)
	discovery := check.StartForTest(t, func() (*emulator.Discovery, error) {
		return emulator.NewDiscovery(emulator.InServiceEntries(server.Addr)...)
	})
	discovery.SetOverloaded(400 * time.Millisecond)
	program := testbed.Program{Path: os.Args[0], Env: []string{"JASPERPIN_TEST_MAIN=1"}}
	processes := check.Must[*testbed.Nodes](t)(testbed.NewNodes(program, t.TempDir(), nodes, discovery.Addr, emulator.InServiceEntries(server.Addr)...))
	t.Cleanup(func() { _ = processes.End(true) })
	for _, round := range []string{"first", "restarted"} {
		calls := discovery.Calls.Load()
		if err := processes.End(true); err != nil {
			t.Fatal(err)
		}
		readyAfter, err := processes.Start(check.Timeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: half were ready after %v, nine in ten after %v, all after %v", round, readyAfter[nodes/2-1], readyAfter[nodes*9/10-1], readyAfter[nodes-1])
		if readyAfter[nodes*9/10-1] > readyWithin {
			t.Errorf("%s: nine in ten were ready after %v, want at most %v", round, readyAfter[nodes*9/10-1], readyWithin)
		}
		check.Eventually(t, "each node has called discovery", func() bool { return discovery.Calls.Load() >= calls+nodes })
	}
}
