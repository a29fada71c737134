package node

import (
	"fmt"
	"net"
	"os"
)

// listen opens the addresses for clients, except those whose listeners come from the predecessor,
// and the first where the process was started with a descriptor that listens there. It closes
// listeners from the predecessor whose addresses are not configured any more.
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
			ln, err = listenerOf(n.cfg.InheritedDescriptor)
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

// listenerOf returns the listener of a descriptor that the process was started with.
func listenerOf(descriptor int) (net.Listener, error) {
	file := os.NewFile(uintptr(descriptor), "clients")
	if file == nil {
		return nil, fmt.Errorf("descriptor %d is not open", descriptor)
	}
	defer file.Close() // the listener has a duplicate of its own
	return net.FileListener(file)
}

func (n *Node) closeListeners() {
	for _, ln := range n.listeners {
		ln.Close()
	}
}

// Addrs returns the addresses that the node listens at, in the order of its configuration: for
// clients, or a planner's for forwarders.
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

// acceptClients accepts clients from the first call on with a configuration to serve them by.
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
		go func() { n.serveErrors <- n.server.Serve(ln) }() // ends with its listener; the channel has room for each
	}
}
