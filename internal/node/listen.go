package node

import (
	"fmt"
	"net"
	"os"
)

// listen opens the addresses for clients. It uses the predecessor's listeners where there are any, and
// for the first address the descriptor that the process was started with, if it has one. It closes the
// predecessor's listeners whose addresses are no longer configured.
func (n *Node) listen(inherited map[string]net.Listener) error {
	defer func() {
		for _, ln := range inherited {
			ln.Close()
		}
	}()
	for i, address := range n.cfg.Listen {
		var ln net.Listener
		var err error
		switch {
		case i == 0 && n.cfg.InheritedDescriptor > 0:
			ln, err = inheritedListener(n.cfg.InheritedDescriptor)
		case inherited[address] != nil:
			ln = inherited[address]
			delete(inherited, address)
		default:
			ln, err = net.Listen("tcp", address)
		}
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, ln)
	}
	return nil
}

// inheritedListener returns the listener of a descriptor that the process was started with.
func inheritedListener(descriptor int) (net.Listener, error) {
	file := os.NewFile(uintptr(descriptor), "clients")
	if file == nil {
		return nil, fmt.Errorf("descriptor %d is not open", descriptor)
	}
	defer file.Close() // the listener uses a duplicate
	return net.FileListener(file)
}

func (n *Node) closeListeners() {
	for _, ln := range n.listeners {
		ln.Close()
	}
}

// Addrs returns the addresses that the node listens at, in the order of its configuration: those for
// clients, or those of a planner for forwarders.
func (n *Node) Addrs() []string {
	listeners := n.listeners
	if n.planner != nil {
		listeners = n.planner.listeners
	}
	var addresses []string
	for _, ln := range listeners {
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses
}

// acceptClients starts to accept clients, or defers that until there is a configuration to serve them
// with. Later calls have no effect.
func (n *Node) acceptClients() {
	if n.accepting || n.server == nil {
		return
	}
	if n.remote != nil && n.remote.ready() != nil {
		n.remote.acceptWhenReady = true
		return
	}
	n.accepting = true
	for _, ln := range n.listeners {
		go func() { n.serveErrors <- n.server.Serve(ln) }() // ends when its listener is closed; the channel has room for each error
	}
}
