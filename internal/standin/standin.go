// Package standin plays the systems round a node on loopback: servers, discovery,
// clients, and a network that fails. Tests, proofs and the demo use it; it serves
// nobody else.
package standin

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// listen opens a port on loopback: a free one where no address is given.
func listen(at string) (net.Listener, error) {
	ln, err := net.Listen("tcp", cmp.Or(at, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("a stand-in needs a port: %w", err)
	}
	return ln, nil
}

// unused counts the addresses that Unused has given.
var unused atomic.Uint32

// Unused gives an address on loopback that nothing listens at. It has an IP address of its
// own: the port of a common one may be another's before it is listened at.
func Unused() (string, error) {
	n := unused.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n/250%250, 1+n%250))
	if err != nil {
		return "", fmt.Errorf("a stand-in needs a port: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
