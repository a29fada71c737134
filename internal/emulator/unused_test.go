package emulator

import (
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// TestUnusedBesideNewProcesses has stand-ins listen at addresses that were given as unused, while other
// processes are being started.
func TestUnusedBesideNewProcesses(t *testing.T) {
	if os.Getenv("STANDIN_TEST_CHILD") != "" {
		return
	}
	var stop atomic.Bool
	var starting sync.WaitGroup
	defer starting.Wait()
	defer stop.Store(true)
	for range 4 {
		starting.Go(func() {
			for !stop.Load() {
				child := exec.Command(os.Args[0], "-test.run=^TestUnusedBesideNewProcesses$")
				child.Env = append(os.Environ(), "STANDIN_TEST_CHILD=1")
				if err := child.Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	failed := 0
	const tries = 4000
	for range tries {
		addr, err := Unused()
		if err != nil {
			t.Fatal(err)
		}
		ln, err := listen(addr)
		if err != nil {
			failed++
			continue
		}
		ln.Close()
	}
	if failed > 0 {
		t.Errorf("%d of %d could not be listened at", failed, tries)
	}
}
