package node

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"

	"jasperpin/internal/admin"
	"jasperpin/internal/hotrestart"
	"jasperpin/internal/metrics"
	"jasperpin/internal/service"
)

// adminSocketMode denies other users access to an admin server at a Unix socket.
const adminSocketMode = 0o600

var (
	errDraining  = errors.New("draining: this process accepts no more requests")
	errPlanner   = errors.New("a planner sends no requests to servers: call the forwarders")
	errNeedsPool = errors.New("this node has named pools: specify the server as POOL/ID")
)

// openAdmin starts the admin server if the configuration has an address for it.
func (n *Node) openAdmin() error {
	if n.cfg.AdminAddress == "" {
		return nil
	}
	ln, err := listenAdmin(n.cfg.AdminAddress)
	if err != nil {
		return fmt.Errorf("listening for operators: %w", err)
	}
	n.admin = admin.New(ln, operator{n}, n.log)
	n.log.Info("admin server listening", "listen", n.admin.Addr())
	return nil
}

// listenAdmin listens on a TCP address, or with "unix:" and a path on a Unix socket that only its
// owner may use. It replaces a socket that was left by a process that has ended.
func listenAdmin(address string) (net.Listener, error) {
	path, ok := strings.CutPrefix(address, "unix:")
	if !ok {
		return net.Listen("tcp", address)
	}
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return nil, fmt.Errorf("%s: address in use by another process", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&fs.ModeSocket != 0 {
		_ = os.Remove(path) // if this fails, listening fails and reports why
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, adminSocketMode); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// operator implements admin.Operator for a node.
type operator struct{ *Node }

// Ready returns errDraining while the node drains, and errNoVersion before the first configuration.
func (o operator) Ready() error {
	if o.draining.Load() {
		return errDraining
	}
	return o.remote.ready()
}

// Metrics writes the metrics of the node, with the totals of its pools.
func (o operator) Metrics(w *bytes.Buffer) error {
	var servers metrics.Servers
	if o.services != nil {
		for _, pool := range o.services.Pools() {
			listed, out := pool.CountServers()
			servers.Listed += listed
			servers.OutOfRotation += out
			delays := pool.Delays()
			servers.LongestLockHold = max(servers.LongestLockHold, delays.LockHold)
			servers.LongestTimerDelay = max(servers.LongestTimerDelay, delays.TimerDelay)
		}
	}
	if err := o.metrics.Write(w, servers); err != nil {
		return err
	}
	o.remote.writeMetrics(w)
	return nil
}

// maintenanceAction takes a server out of rotation or puts the server back.
type maintenanceAction struct {
	apply        func(services *service.Set, pool, server string) error
	out          bool   // whether the server is out of rotation afterwards
	done, failed string // log messages
}

var (
	excludeServer = maintenanceAction{(*service.Set).Exclude, true, "server excluded", "server not excluded"}
	includeServer = maintenanceAction{(*service.Set).Include, false, "server included", "server not included"}
)

// Exclude takes a server out of rotation in all processes of the node.
func (o operator) Exclude(id string) error { return o.maintain(id, excludeServer) }

// Include puts a server back into rotation in all processes of the node.
func (o operator) Include(id string) error { return o.maintain(id, includeServer) }

// maintain applies an operator's call in this process and broadcasts it to the node's other processes.
func (o operator) maintain(id string, action maintenanceAction) error {
	if o.services == nil {
		return errPlanner
	}
	name, server, err := o.splitServerID(id)
	if err != nil {
		return err
	}
	err = action.apply(o.services, name, server)
	if errors.Is(err, service.ErrUnknownPool) {
		return fmt.Errorf("%w %.40q", err, name)
	}
	if err != nil {
		o.log.Warn(action.failed, "pool", name, "server_id", server, "err", err)
		return err
	}
	o.log.Info(action.done, "pool", name, "server_id", server)
	o.handover.Broadcast(hotrestart.MaintenanceCall{Pool: name, Server: server, Out: action.out})
	return nil
}

// splitServerID splits POOL/ID. A node with the platform's configuration has a single pool named "",
// and its IDs have no prefix.
func (o operator) splitServerID(id string) (pool, server string, err error) {
	if o.services.Pool("") != nil {
		return "", id, nil
	}
	pool, server, ok := strings.Cut(id, "/")
	if !ok {
		return "", "", errNeedsPool
	}
	return pool, server, nil
}
