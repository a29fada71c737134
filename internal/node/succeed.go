package node

import (
	"net"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/hotrestart"
	"jasperpin/internal/limit"
	"jasperpin/internal/requestid"
)

// meet looks for the process in whose place this one goes on, and gives what it knows.
func (n *Node) meet() hotrestart.Inherited {
	var known hotrestart.Inherited
	n.line, known = hotrestart.Meet(n.cfg.Private, n.log)
	n.share = n.line.Processes()
	return known
}

// machine is this process's part of the machine. One that drains takes nothing more, and
// leaves all that it does not hold: clients that it closes on come to this one, which
// must have a place for each, or it closes on others, who come again at once.
func (n *Node) machine() limit.Machine {
	if n.share.Draining {
		return n.cfg.Limits.Beside(n.share.Held)
	}
	return n.cfg.Limits.Part(n.share.Of)
}

// kin is the node as its line sees it.
type kin struct {
	*Node
	lent map[string]net.Listener // for a successor that inherits none
}

// kin is the node for its line, with the listeners that it opened or was handed.
func (n *Node) kin() kin {
	k := kin{n, make(map[string]net.Listener)}
	if n.cfg.Inherited == 0 {
		for i, ln := range n.listeners {
			k.lent[n.cfg.Listen[i]] = ln
		}
	}
	return k
}

func (k kin) Snapshots() map[string]core.Snapshot { return k.set.Snapshot() }

func (k kin) Apply(c hotrestart.MaintenanceCall) {
	p := k.set.Pool(c.Pool)
	if p == nil {
		return
	}
	do, what := p.Include, "included"
	if c.Out {
		do, what = p.Exclude, "excluded"
	}
	if err := do(c.Server); err != nil {
		k.log.Warn("a call taken by another process fails here", "server", c.Server, "err", err)
		return
	}
	k.log.Info("server "+what+", as another process was told", "pool", c.Pool, "server", c.Server)
}

func (k kin) RequestIDs(whole bool) map[string]requestid.Update {
	news := make(map[string]requestid.Update)
	for name, p := range k.set.Pools() {
		if n := p.RequestIDs(whole); !n.Empty() {
			news[name] = n
		}
	}
	return news
}

func (k kin) StopTrackingRequestIDs() {
	for _, p := range k.set.Pools() {
		p.StopTrackingRequestIDs()
	}
}

func (k kin) ApplyPeerRequestIDs(from requestid.Side, news map[string]requestid.Update) {
	for name, n := range news {
		if p := k.set.Pool(name); p != nil {
			if err := p.ApplyPeerRequestIDs(from, n); err != nil {
				k.log.Warn("news of another process's names", "pool", name, "err", err)
			}
		}
	}
}

func (k kin) ForgetPeerRequestIDs(side requestid.Side) {
	for _, p := range k.set.Pools() {
		p.ForgetPeerRequestIDs(side)
	}
}

func (k kin) Listeners() map[string]net.Listener { return k.lent }

// SetProcesses has the node's own goroutine lay the limits out; the newest word counts.
func (k kin) SetProcesses(s hotrestart.Processes) {
	for {
		select {
		case k.shares <- s:
			return
		default:
		}
		select {
		case <-k.shares:
		default:
		}
	}
}

// part keeps this process within its part of the machine. It takes clients as soon as
// none before it does: both would have room for half of them each, and turn good ones
// out for want of it.
func (n *Node) part(s hotrestart.Processes) {
	n.share = s
	m := n.machine()
	if n.front != nil {
		n.front.Limit(m)
	}
	if n.set != nil {
		if err := n.set.Resize(m); err != nil {
			n.log.Error("sharing the machine out", "err", err)
		}
	}
	if n.process {
		keep(m)
	}
	if !s.Waits {
		n.accept()
	}
}

// accept takes clients, from the first call on with something to serve them by.
func (n *Node) accept() {
	if n.accepting || n.front == nil {
		return
	}
	if n.remote != nil && n.remote.ready() != nil {
		n.remote.accept = true // as soon as it has
		return
	}
	n.accepting = true
	for _, ln := range n.listeners {
		go func() { n.served <- n.front.Serve(ln) }()
	}
}

// handOver leaves newcomers to the successor, which accepts from the same socket, and
// waits for the clients to leave: each connection closes with its next answer. Closing
// one at rest could cross a request on its way, so that it is left for the last moment.
func (n *Node) handOver(until time.Time) {
	n.unlisten()
	if err := n.set.Resize(n.cfg.Limits.Part(2)); err != nil {
		n.log.Error("leaving the machine", "err", err)
	}
	for held := (limit.Held{Clients: -1}); time.Now().Before(until) && n.front.Conns() > 0; time.Sleep(quiet / 5) {
		if is := (limit.Held{Clients: n.front.Conns(), Servers: n.room.All()}); is != held {
			held = is
			n.line.AnnounceDrain(hotrestart.Drain{Held: is})
		}
	}
}
