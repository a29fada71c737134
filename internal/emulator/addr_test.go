package emulator

import (
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// TestUnusedAddrWhileProcessesStart calls UnusedAddr while processes are being started, and listens at each address.
// UnusedAddr opens and closes a listener. A process that is started in between would inherit the listener, and the
// address would stay in use.
func TestUnusedAddrWhileProcessesStart(t *testing.T) {
	if os.Getenv("EMULATOR_TEST_CHILD") != "" {
		return
	}
	var stop atomic.Bool
	var starting sync.WaitGroup
	defer starting.Wait()
	defer stop.Store(true)
	for range 4 {
		starting.Go(func() {
			for !stop.Load() {
				child := exec.Command(os.Args[0], "-test.run=^TestUnusedAddrWhileProcessesStart$")
				child.Env = append(os.Environ(), "EMULATOR_TEST_CHILD=1")
				if err := child.Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	failed := 0
	const attempts = 4000
	for range attempts {
		addr, err := UnusedAddr()
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
		t.Errorf("%d of %d addresses that were reported unused were in use", failed, attempts)
	}
}
