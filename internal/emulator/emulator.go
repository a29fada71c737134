// Package emulator plays the systems round a node on loopback: servers, discovery,
// clients, and a network that fails. Tests, proofs and the demo use it; it serves
// nobody else.
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

// listen opens a port on loopback: a free one where no address is given.
func listen(at string) (net.Listener, error) {
	ln, err := ListenAgain(cmp.Or(at, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("a stand-in needs a port: %w", err)
	}
	return ln, nil
}

// againWithin bounds how long an address may be held by a process that is being started.
const againWithin = 5 * time.Second

// ListenAgain listens at an address that was listened at before: a process that is being started may
// have a copy of that listener for a moment more.
func ListenAgain(at string) (net.Listener, error) {
	for end := time.Now().Add(againWithin); ; time.Sleep(time.Millisecond) {
		ln, err := net.Listen("tcp", at)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
	}
}

// unused counts the addresses that Unused has given.
var unused atomic.Uint32

// Unused gives an address on loopback that nothing listens at. It has an IP address of its
// own: the port of a common one may be another's before it is listened at. No process is forked
// meanwhile: one that is being started has a copy of all descriptors until its program runs, and the
// address would stay in use.
func Unused() (string, error) {
	n := unused.Add(1)
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n/250%250, 1+n%250))
	if err != nil {
		return "", fmt.Errorf("a stand-in needs a port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
