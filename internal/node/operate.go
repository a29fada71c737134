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
	"jasperpin/internal/core"
	"jasperpin/internal/hotrestart"
	"jasperpin/internal/metrics"
)

// openDoor listens for operators, where the configuration names a place.
func (n *Node) openDoor() error {
	if n.cfg.Control == "" {
		return nil
	}
	ln, err := listenDoor(n.cfg.Control)
	if err != nil {
		return fmt.Errorf("listening for operators: %w", err)
	}
	n.door = admin.New(ln, operator{n}, n.log)
	n.log.Info("door open", "listen", n.door.Addr())
	return nil
}

// listenDoor opens an address, or a socket of the file system that its owner alone may
// use. One that a process long dead has left is put aside.
func listenDoor(at string) (net.Listener, error) {
	path, ok := strings.CutPrefix(at, "unix:")
	if !ok {
		return net.Listen("tcp", at)
	}
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: somebody listens there", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&fs.ModeSocket != 0 {
		_ = os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// Door is where operators call, "" for nowhere.
func (n *Node) Door() string {
	if n.door == nil {
		return ""
	}
	return n.door.Addr()
}

// operator answers operators' calls.
type operator struct{ *Node }

var (
	errDraining = errors.New("draining: this process takes nothing more")
	errPlanner  = errors.New("a planner sends no requests: call the forwarders")
)

func (o operator) Ready() error {
	if o.draining.Load() {
		return errDraining
	}
	return o.remote.ready()
}

func (o operator) Metrics(w *bytes.Buffer) error {
	var s metrics.Servers
	if o.set != nil {
		for _, p := range o.set.Pools() {
			listed, out := p.Servers()
			s.Listed += listed
			s.Out += out
			d := p.Delays()
			s.LongestHold, s.LatestTimer = max(s.LongestHold, d.Hold), max(s.LatestTimer, d.Timer)
		}
	}
	if err := o.figures.Write(w, s); err != nil {
		return err
	}
	o.remote.figures(w)
	return nil
}

func (o operator) Exclude(id string) error { return o.server(id, (*core.Pool).Exclude, "excluded") }

func (o operator) Include(id string) error { return o.server(id, (*core.Pool).Include, "included") }

// server does something to a server: ID, or POOL/ID where there are several pools.
func (o operator) server(id string, do func(*core.Pool, string) error, what string) error {
	if o.set == nil {
		return errPlanner
	}
	name := ""
	p := o.set.Pool("")
	if p == nil {
		var ok bool
		if name, id, ok = strings.Cut(id, "/"); !ok {
			return errors.New("this node has pools: name the server as POOL/ID")
		}
		if p = o.set.Pool(name); p == nil {
			return fmt.Errorf("no pool %.40q", name)
		}
	}
	if err := do(p.Pool, id); err != nil {
		o.log.Warn("server not "+what, "pool", name, "server", id, "err", err)
		return err
	}
	o.log.Info("server "+what, "pool", name, "server", id)
	o.line.Broadcast(hotrestart.MaintenanceCall{Pool: name, Server: id, Out: what == "excluded"})
	return nil
}
