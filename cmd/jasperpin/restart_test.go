package main

import (
	"os"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
)

// TestRestartTogether kills many processes at once and starts them together, before a discovery
// with too many callers: nine in ten are ready within ten seconds, and all within thirty.
func TestRestartTogether(t *testing.T) {
	const nodes, readyBy = 30, 10 * time.Second
	server := check.ScriptedServer(t, emulator.Echo)
	d := check.StartForTest(t, func() (*emulator.Discovery, error) {
		return emulator.NewDiscovery(emulator.InServiceEntries(server.Addr)...)
	})
	d.SetOverloaded(400 * time.Millisecond)
	program := testbed.Program{Path: os.Args[0], Env: []string{"JASPERPIN_TEST_MAIN=1"}}
	all := check.Must[*testbed.Nodes](t)(testbed.NewNodes(program, t.TempDir(), nodes, d.Addr, emulator.InServiceEntries(server.Addr)...))
	t.Cleanup(func() { _ = all.End(true) })
	for _, which := range []string{"first", "restarted"} {
		calls := d.Calls.Load()
		if err := all.End(true); err != nil {
			t.Fatal(err)
		}
		took, err := all.Start(check.Soon)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %v half, %v nine in ten, %v all", which, took[nodes/2-1], took[nodes*9/10-1], took[nodes-1])
		if took[nodes*9/10-1] > readyBy {
			t.Errorf("%s: %v until nine in ten were ready, want %v", which, took[nodes*9/10-1], readyBy)
		}
		check.Eventually(t, "discovery has too many callers", func() bool { return d.Calls.Load() >= calls+nodes })
	}
}
