package plannerrpc

import (
	"bufio"
	"log/slog"
	"net"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
	"jasperpin/internal/starttime"
)

// PoolOptions are the settings of a PoolServer.
type PoolOptions struct {
	Pool     string
	Classes  []string // in the order of their numbers
	Settings decide.Settings
	Seed     uint64
	Zoned    bool      // see planner.NewPlanner
	Start    time.Time // when the planner's clock began; the zero time stands for now
	Watch    func()    // is called when the planner wants endpoints watched; may be nil
	Log      *slog.Logger
}

// PoolServer is one pool's planner with its forwarders' connections and its endpoints.
type PoolServer struct {
	options PoolOptions

	mu          sync.Mutex // guards what follows
	planner     *planner.Planner
	pending     []func() // what the planner decided, to be called without the lock
	connections map[planner.ConnectionID]forwarderConnection
	serverIDs   map[string]decide.ServerID // by endpoint name
	usedIDs     map[decide.ServerID]bool
	startTimes  starttime.Tracker
	closed      bool
}

// forwarderConnection is a connected forwarder.
type forwarderConnection struct {
	*outbox
	name string
}

// NewPoolServer returns a PoolServer without endpoints.
func NewPoolServer(options PoolOptions) *PoolServer {
	if options.Start.IsZero() {
		options.Start = time.Now()
	}
	p := &PoolServer{
		options: options, connections: make(map[planner.ConnectionID]forwarderConnection),
		serverIDs: make(map[string]decide.ServerID), usedIDs: make(map[decide.ServerID]bool),
	}
	p.do(func(now time.Duration) {
		p.planner = planner.NewPlanner(options.Settings, options.Zoned, options.Seed, now, poolEffects{p})
	})
	return p
}

// now is the time on the planner's clock: Unix time, but monotonic.
func (p *PoolServer) now() time.Duration {
	return time.Duration(p.options.Start.UnixNano()) + time.Since(p.options.Start)
}

// do feeds the planner an event unless the pool is closed, and carries out what follows once the lock
// is free.
func (p *PoolServer) do(event func(now time.Duration)) {
	p.mu.Lock()
	if !p.closed {
		event(p.now())
	}
	pending := p.pending
	p.pending = nil
	p.mu.Unlock()
	for _, call := range pending {
		call()
	}
}

// UpdateEndpoints takes a list of endpoints, or changes of it.
func (p *PoolServer) UpdateEndpoints(kind decide.UpdateKind, endpoints []core.Endpoint) {
	p.do(func(now time.Duration) {
		servers, listed := p.servers(now, endpoints)
		p.forgetGone(listed, kind == decide.UpdateFull || kind == decide.UpdateCached)
		if kind == decide.UpdateFull || kind == decide.UpdateDelta {
			p.startTimes.ConfirmList(now)
		}
		p.planner.UpdateEndpoints(now, kind, servers)
	})
}

// servers returns endpoints as the planner knows them, and whether each name stays listed.
func (p *PoolServer) servers(now time.Duration, endpoints []core.Endpoint) (servers []decide.Server, listed map[string]bool) {
	listed = make(map[string]bool, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		listed[e.Name] = e.State != decide.Gone
		id, known := p.serverIDs[e.Name]
		if !known {
			id = core.HashServerID(e.Name, func(id decide.ServerID) bool { return p.usedIDs[id] })
			p.serverIDs[e.Name], p.usedIDs[id] = id, true
		}
		servers = append(servers, e.BalancerServer(id, p.startTimes.StartedAt(now, e.Name, e.StartedAtMS)))
	}
	return servers, listed
}

// forgetGone forgets endpoints that an update lists as gone, or that a whole list leaves out.
func (p *PoolServer) forgetGone(listed map[string]bool, whole bool) {
	for name, id := range p.serverIDs {
		stays, mentioned := listed[name]
		if mentioned && !stays || whole && !mentioned {
			delete(p.serverIDs, name)
			delete(p.usedIDs, id)
			p.startTimes.Forget(name)
		}
	}
}

// AttemptsInFlight returns the number of attempts that count as in flight, over all forwarders.
func (p *PoolServer) AttemptsInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.AttemptsInFlight()
}

// Forwarders returns the number of those that are connected.
func (p *PoolServer) Forwarders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Forwarders()
}

// serve feeds the planner a forwarder's messages until its connection ends. It returns how many bytes
// were received and sent, before encryption, and why the connection ended.
func (p *PoolServer) serve(conn net.Conn, reader *bufio.Reader, name string) (received, sent int64, err error) {
	out := newOutbox(batchDelay)
	source := p.join(name, out)
	if source == 0 {
		return 0, 0, errClosed
	}
	var writer sync.WaitGroup
	writer.Go(func() { out.run(conn) })
	received, err = p.receive(reader, source)
	out.fail(err)
	writer.Wait()
	p.do(func(now time.Duration) {
		p.planner.ForwarderDisconnected(now, source)
		delete(p.connections, source)
	})
	return received, out.bytesSent(), out.cause(err)
}

// join adds a forwarder's connection, or returns 0 where the pool is closed. An earlier connection
// under its name fails: the forwarder has come back, or has the name of another, and only one can be
// served.
func (p *PoolServer) join(name string, out *outbox) (source planner.ConnectionID) {
	p.do(func(now time.Duration) {
		for _, other := range p.connections {
			if other.name == name {
				other.fail(errNameInUse)
			}
		}
		source = p.planner.ForwarderConnected(now, name)
		p.connections[source] = forwarderConnection{out, name}
	})
	return source
}

// receive feeds the planner what a forwarder sends until its connection ends.
func (p *PoolServer) receive(reader *bufio.Reader, source planner.ConnectionID) (received int64, err error) {
	var buf []byte
	for {
		if buf, err = readFrame(reader, buf, planner.MaxFrame); err != nil {
			return received, err
		}
		received += int64(lengthprefix.PrefixBytes + len(buf))
		p.do(func(now time.Duration) {
			err = planner.Decode(buf, func(m planner.Message) error {
				if m.Kind == planner.KindPlacement || m.Kind == planner.KindDeclined {
					return errWrongRole
				}
				p.planner.Receive(now, source, m)
				return nil
			})
		})
		if err != nil {
			return received, err
		}
	}
}

// close closes all connections. Nothing is fed to the planner any more.
func (p *PoolServer) close() {
	p.mu.Lock()
	p.closed = true
	connections := p.connections
	p.connections = nil
	p.mu.Unlock()
	for _, c := range connections {
		c.fail(errClosed)
	}
}

// poolEffects is the planner.PlannerEffects of a PoolServer, which is locked.
type poolEffects struct{ *PoolServer }

// Send adds a message to a forwarder's outbox.
func (p poolEffects) Send(to planner.ConnectionID, m planner.Message) {
	if c, ok := p.connections[to]; ok {
		c.add(m)
	}
}

// SetTimer starts a timer.
func (p poolEffects) SetTimer(t planner.Timer, at time.Duration) {
	time.AfterFunc(at-p.now(), func() {
		p.do(func(now time.Duration) { p.planner.TimerFired(now, t) })
	})
}

// WatchEndpoints has endpoints watched once the lock is free.
func (p poolEffects) WatchEndpoints(on bool) {
	if on && p.options.Watch != nil {
		p.pending = append(p.pending, p.options.Watch)
	}
}

// Reset closes all connections.
func (p poolEffects) Reset() {
	for _, c := range p.connections {
		c.fail(errClosed)
	}
}

// Log logs a line once the lock is free.
func (p poolEffects) Log(text string) {
	p.pending = append(p.pending, func() { p.options.Log.Info(text, "pool", p.options.Pool) })
}
