package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// listen listens at a loopback address, or at any free port of 127.0.0.1 if addr is empty.
func listen(addr string) (net.Listener, error) {
	ln, err := Relisten(cmp.Or(addr, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("listening for an emulator: %w", err)
	}
	return ln, nil
}

// relistenTimeout is how long Relisten retries while the address is in use.
const relistenTimeout = 5 * time.Second

// Relisten listens at an address whose listener was closed. A child process has a copy of all descriptors until it
// executes its program, so the address may still be in use for a moment: Relisten retries for up to
// relistenTimeout.
func Relisten(addr string) (net.Listener, error) {
	for end := time.Now().Add(relistenTimeout); ; time.Sleep(time.Millisecond) {
		ln, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
	}
}

// unusedCount counts the addresses that UnusedAddr has returned.
var unusedCount atomic.Uint32

// firstUnusedByte is the lowest third byte of an address that UnusedAddr returns. Networks of package testbed use lower
// ones.
const firstUnusedByte = 3

// UnusedAddr returns a loopback address at which no socket listens. Each returned address has its own IP address:
// on a shared IP address, another process could be assigned the port before the caller listens there. UnusedAddr
// holds syscall.ForkLock, because a process that is started while the listener is open would inherit it, and the address
// would stay in use.
func UnusedAddr() (string, error) {
	n := unusedCount.Add(1)
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, firstUnusedByte+n/250%250, 1+n%250))
	if err != nil {
		return "", fmt.Errorf("finding an unused address: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
