// Package standin plays the systems round a node on loopback: servers, discovery,
// clients, and a network that fails. Tests, proofs and the demo use it; it serves
// nobody else.
package standin

import (
	"fmt"
	"net"
)

// listen opens a free port on loopback.
func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a stand-in needs a port: %w", err)
	}
	return ln, nil
}

// Unused gives an address on loopback that nothing listens at.
func Unused() (string, error) {
	ln, err := listen()
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
