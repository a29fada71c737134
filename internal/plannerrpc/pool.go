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
	Classes  []string // class names, in the order of their numbers in messages
	Settings decide.Settings
	Seed     uint64
	Zoned    bool      // see planner.NewPlanner
	Start    time.Time // start of the planner's clock; the zero time stands for now
	Watch    func()    // called when the planner needs an endpoint watch; may be nil
	Log      *slog.Logger
}

// PoolServer runs the planner of one pool, with its forwarders' connections and its endpoints.
type PoolServer struct {
	options PoolOptions

	mu          sync.Mutex // guards the fields below
	planner     *planner.Planner
	pending     []func() // effects of the planner, to be called without the lock
	connections map[planner.ConnectionID]forwarderConnection
	serverIDs   map[string]decide.ServerID // server IDs by endpoint name
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
	p.handleEvent(func(now time.Duration) {
		p.planner = planner.NewPlanner(options.Settings, options.Zoned, options.Seed, now, poolEffects{p})
	})
	return p
}

// now returns the time on the planner's clock, which is monotonic and starts at the Unix time of
// options.Start.
func (p *PoolServer) now() time.Duration {
	return time.Duration(p.options.Start.UnixNano()) + time.Since(p.options.Start)
}

// handleEvent passes an event to the planner with mu held, unless the pool is closed, then carries out the
// pending effects without mu.
func (p *PoolServer) handleEvent(event func(now time.Duration)) {
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

// UpdateEndpoints applies a complete endpoint list or a delta.
func (p *PoolServer) UpdateEndpoints(kind decide.UpdateKind, endpoints []core.Endpoint) {
	p.handleEvent(func(now time.Duration) {
		servers, listed := p.servers(now, endpoints)
		p.forgetGone(listed, kind == decide.UpdateFull || kind == decide.UpdateCached)
		if kind == decide.UpdateFull || kind == decide.UpdateDelta {
			p.startTimes.ConfirmList(now)
		}
		p.planner.UpdateEndpoints(now, kind, servers)
	})
}

// servers converts endpoints to the planner's servers, and returns for each name whether it stays listed.
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

// forgetGone removes the endpoints that an update lists as gone, or that a complete list omits.
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

// AttemptsInFlight returns the number of attempts in flight over all forwarders.
func (p *PoolServer) AttemptsInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.AttemptsInFlight()
}

// Forwarders returns the number of connected forwarders.
func (p *PoolServer) Forwarders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planner.Forwarders()
}

// serve passes a forwarder's messages to the planner until the connection is lost or closed. It returns
// the numbers of bytes received and sent, before encryption, and the cause of the connection's end.
func (p *PoolServer) serve(conn net.Conn, reader *bufio.Reader, name string) (received, sent int64, err error) {
	out := newOutbox(batchDelay)
	source := p.addConnection(name, out)
	if source == 0 {
		return 0, 0, errClosed
	}
	var writer sync.WaitGroup
	writer.Go(func() { out.run(conn) })
	received, err = p.receive(reader, source)
	out.fail(err)
	writer.Wait()
	p.handleEvent(func(now time.Duration) {
		p.planner.ForwarderDisconnected(now, source)
		delete(p.connections, source)
	})
	return received, out.bytesSent(), out.cause(err)
}

// addConnection adds a forwarder's connection, or returns 0 if the pool is closed. An earlier connection with
// the same name fails, since only one can be served: either the forwarder has reconnected, or two forwarders
// have the same name.
func (p *PoolServer) addConnection(name string, out *outbox) (source planner.ConnectionID) {
	p.handleEvent(func(now time.Duration) {
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

// receive passes a forwarder's messages to the planner until the connection is lost or closed.
func (p *PoolServer) receive(reader *bufio.Reader, source planner.ConnectionID) (received int64, err error) {
	var buf []byte
	for {
		if buf, err = readFrame(reader, buf, planner.MaxFrame); err != nil {
			return received, err
		}
		received += int64(lengthprefix.PrefixBytes + len(buf))
		p.handleEvent(func(now time.Duration) {
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

// close closes all connections. The planner receives no events from then on.
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

// poolEffects implements planner.PlannerEffects for a PoolServer. Its methods are called with mu held.
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
		p.handleEvent(func(now time.Duration) { p.planner.TimerFired(now, t) })
	})
}

// WatchEndpoints queues a call of the Watch option for after mu is released.
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

// Log queues a log line, which is written after mu is released.
func (p poolEffects) Log(text string) {
	p.pending = append(p.pending, func() { p.options.Log.Info(text, "pool", p.options.Pool) })
}
