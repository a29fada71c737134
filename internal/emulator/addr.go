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

// listen listens on loopback: at an address, or at any free port if it is empty.
func listen(addr string) (net.Listener, error) {
	ln, err := Relisten(cmp.Or(addr, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("listening for an emulator: %w", err)
	}
	return ln, nil
}

// relistenTimeout is how long an address may stay in use by a process that is being started.
const relistenTimeout = 5 * time.Second

// Relisten listens at an address whose listener was closed. A process that is being started has a copy
// of all descriptors until its program runs, so the address may stay in use for a moment: it retries.
func Relisten(addr string) (net.Listener, error) {
	for end := time.Now().Add(relistenTimeout); ; time.Sleep(time.Millisecond) {
		ln, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
	}
}

// unusedCount counts the addresses that Unused has returned.
var unusedCount atomic.Uint32

// UnusedAddr returns a loopback address that nothing listens at. Each has an IP address of its own: a port of a
// common one could be taken by others before the caller listens there. ForkLock keeps processes from being
// started meanwhile, which would have a copy of the listener, and the address would stay in use.
func UnusedAddr() (string, error) {
	n := unusedCount.Add(1)
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n/250%250, 1+n%250))
	if err != nil {
		return "", fmt.Errorf("finding an unused address: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
