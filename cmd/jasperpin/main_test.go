package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
)

// TestMain runs the test binary as the jasperpin command if JASPERPIN_TEST_MAIN is 1.
func TestMain(m *testing.M) {
	if os.Getenv("JASPERPIN_TEST_MAIN") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// isUp reports whether a node answers clients at a listen address.
func isUp(address string) bool {
	resp, err := http.Get("http://" + address + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitUp waits until a node answers clients at a listen address.
func awaitUp(t *testing.T, address string) {
	t.Helper()
	check.Eventually(t, "the node is up", func() bool { return isUp(address) })
}

// startServing starts a process of `jasperpin serve` with a configuration file. Its log is stored in dir.
func startServing(dir, name, file string) (*testbed.Process, error) {
	return testbed.Program{Path: os.Args[0], Env: []string{"JASPERPIN_TEST_MAIN=1"}}.Start(dir, name, "serve", "-c", file)
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(descriptors)
}

// TestProgramThroughFaults reloads invalid configurations, opens more connections than the process may have
// and sends SIGTERM: the process answers clients until SIGTERM, and then ends without an error.
func TestProgramThroughFaults(t *testing.T) {
	const sockets = 256
	listen := check.UnusedAddr(t)
	file := filepath.Join(t.TempDir(), "config.json")
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "discovery": check.UnusedAddr(t), "seed": "1",
		"limits":   map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets},
		"settings": map[string]any{"classes": []any{map[string]any{"name": "look", "effect": "free", "objectiveMs": 1000, "deadlineMs": 2000}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	write := func(text []byte) {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "JASPERPIN_TEST_MAIN=1", "GW_CONFIG="+file)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	awaitUp(t, listen)

	for i := range 20 {
		write(text[:i*len(text)/20])
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitUp(t, listen)
	}

	for range 3 * sockets {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	check.Eventually(t, "the node answers beside idle connections", func() bool {
		if n := openDescriptors(t, cmd.Process.Pid); n > sockets {
			t.Fatalf("%d open descriptors, want at most %d", n, sockets)
		}
		return isUp(listen)
	})

	// A second SIGTERM and a SIGHUP have no effect while the process ends.
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
			t.Fatal(err)
		}
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("after SIGTERM the program ended with %v", err)
		}
	case <-time.After(check.Timeout):
		t.Error("the program did not end on SIGTERM")
	}
}
