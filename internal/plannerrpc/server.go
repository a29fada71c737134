package plannerrpc

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/acceptor"
	"jasperpin/internal/core"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
	"jasperpin/internal/starttime"
)

// MaxStrangers bounds the connections that have not greeted yet.
const MaxStrangers = 64

// Server is a planner's end: it takes forwarders' connections and gives each to the
// desk of the pool that it names.
type Server struct {
	tls  *tls.Config
	most int // connections that have greeted
	log  *slog.Logger

	mu        sync.Mutex
	listeners []net.Listener
	desks     map[string]*Desk
	conns     map[net.Conn]bool // true once it has greeted
	greeted   int
	closed    bool
	serving   sync.WaitGroup
}

// NewServer makes a planner's end that knows no pool yet. It keeps so many connections
// of forwarders at the most, and MaxStrangers beside them.
func NewServer(tls *tls.Config, most int, log *slog.Logger) *Server {
	return &Server{tls: tls, most: most, log: log, desks: make(map[string]*Desk), conns: make(map[net.Conn]bool)}
}

// Open puts a pool's desk in place, and Shut takes one away again. What forwarders
// have with a desk ends with it; they connect anew.
func (s *Server) Open(d *Desk) {
	s.mu.Lock()
	was := s.desks[d.pool]
	s.desks[d.pool] = d
	s.mu.Unlock()
	if was != nil {
		was.close()
	}
}

// Shut takes a pool's desk away.
func (s *Server) Shut(pool string) {
	s.mu.Lock()
	was := s.desks[pool]
	delete(s.desks, pool)
	s.mu.Unlock()
	if was != nil {
		was.close()
	}
}

// Serve takes connections from a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	ln = acceptor.New(ln, "forwarders", s.log)
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				return nil
			}
			return fmt.Errorf("listening for forwarders: %w", err)
		}
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetKeepAliveConfig(keepAlive)
		}
		s.mu.Lock()
		if s.closed || len(s.conns)-s.greeted >= MaxStrangers {
			s.mu.Unlock()
			c.Close()
			continue
		}
		s.conns[c] = false
		s.serving.Add(1)
		s.mu.Unlock()
		go s.serve(c)
	}
}

// Close ends all connections and desks.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		ln.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	desks := s.desks
	s.desks = nil
	s.mu.Unlock()
	for _, d := range desks {
		d.close()
	}
	s.serving.Wait()
}

func (s *Server) serve(raw net.Conn) {
	defer s.serving.Done()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.conns[raw] {
			s.greeted--
		}
		delete(s.conns, raw)
		raw.Close()
	}()
	c := tls.Server(raw, s.tls)
	_ = c.SetDeadline(time.Now().Add(greetWithin))
	br := bufio.NewReaderSize(c, 16<<10)
	d, name, err := s.greet(br, raw)
	if err != nil {
		// A stranger's handshake fails before it could be told anything.
		if c.ConnectionState().HandshakeComplete {
			_ = send(c, append(lengthprefix.New(nil), err.Error()...))
		}
		s.log.Warn("forwarder refused", "from", raw.RemoteAddr().String(), "err", err)
		return
	}
	_ = c.SetDeadline(time.Time{})
	if err := send(c, lengthprefix.New(nil)); err != nil {
		return
	}
	heard, said, err := d.serve(c, br, name)
	s.log.Info("forwarder left", "forwarder", name, "pool", d.pool, "bytes_heard", heard, "bytes_said", said, "why", err)
}

// greet reads a greeting and finds the desk that it asks for.
func (s *Server) greet(br *bufio.Reader, raw net.Conn) (*Desk, string, error) {
	text, err := readFrame(br, nil, planner.MaxHello)
	if err != nil {
		return nil, "", err
	}
	h, err := planner.ParseHello(text)
	if err != nil {
		return nil, "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.desks[h.Pool]
	switch {
	case h.Version != planner.Version: // the rest has not been read
		return nil, "", h.Fits(nil)
	case d == nil:
		return nil, "", fmt.Errorf("the planner has no pool %q", h.Pool)
	case s.greeted >= s.most:
		return nil, "", fmt.Errorf("%d forwarders are connected, which are the most", s.greeted)
	}
	if err := h.Fits(d.classes); err != nil {
		return nil, "", err
	}
	s.conns[raw] = true
	s.greeted++
	return d, h.Name, nil
}

// DeskOptions are what a desk is made of.
type DeskOptions struct {
	Pool    string
	Classes []string // in the order of their numbers
	Decide  decide.Settings
	Seed    uint64
	Zoned   bool      // see plan.NewPlanner
	Start   time.Time // when the module's clock began; the zero time stands for now
	Watch   func()    // the module's order to watch discovery; may be nil
	Log     *slog.Logger
}

// Desk plans one pool's requests.
type Desk struct {
	opt     DeskOptions
	pool    string
	classes []string
	start   time.Time

	mu     sync.Mutex
	p      *planner.Planner
	todo   []func()
	peers  map[planner.Source]peer
	ids    map[string]decide.ServerID
	births starttime.Book
	named  map[decide.ServerID]bool
	closed bool
}

// peer is a forwarder that is connected.
type peer struct {
	*outbox
	name string
}

// NewDesk makes a desk that knows no server yet; Listed tells it of them.
func NewDesk(opt DeskOptions) *Desk {
	if opt.Start.IsZero() {
		opt.Start = time.Now()
	}
	d := &Desk{
		opt: opt, pool: opt.Pool, classes: opt.Classes, start: opt.Start, peers: make(map[planner.Source]peer),
		ids: make(map[string]decide.ServerID), named: make(map[decide.ServerID]bool),
	}
	d.do(func(now time.Duration) {
		d.p = planner.NewPlanner(opt.Decide, opt.Zoned, opt.Seed, now, deskEffects{d})
	})
	return d
}

// now is on the module's clock: Unix time, but monotonic.
func (d *Desk) now() time.Duration {
	return time.Duration(d.start.UnixNano()) + time.Since(d.start)
}

func (d *Desk) do(event func(now time.Duration)) {
	d.mu.Lock()
	if !d.closed {
		event(d.now())
	}
	todo := d.todo
	d.todo = nil
	d.mu.Unlock()
	for _, f := range todo {
		f()
	}
}

// Listed takes news of the servers.
func (d *Desk) Listed(kind decide.UpdateKind, hosts []core.Endpoint) {
	d.do(func(now time.Duration) {
		var list []decide.Server
		here := make(map[string]bool, len(hosts))
		for i := range hosts {
			h := &hosts[i]
			here[h.Name] = h.State != decide.Gone
			id, ok := d.ids[h.Name]
			if !ok {
				id = core.ServerID(h.Name, func(id decide.ServerID) bool { return d.named[id] })
				d.ids[h.Name], d.named[id] = id, true
			}
			list = append(list, h.Server(id, d.births.Since(now, h.Name, h.StartedAtMS)))
		}
		whole := kind == decide.UpdateFull || kind == decide.UpdateCached
		for name, id := range d.ids {
			if is, told := here[name]; told && !is || whole && !told {
				delete(d.ids, name)
				d.births.Forget(name)
				delete(d.named, id)
			}
		}
		if kind == decide.UpdateFull || kind == decide.UpdateDelta {
			d.births.Confirm(now)
		}
		d.p.Listed(now, kind, list)
	})
}

// Out counts the attempts that are believed to be out, over all forwarders.
func (d *Desk) Out() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.p.Out()
}

// Forwarders counts those that are connected.
func (d *Desk) Forwarders() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.p.Forwarders()
}

// serve hears a forwarder until its connection ends, and says why it did and how
// many bytes went each way.
func (d *Desk) serve(c net.Conn, br *bufio.Reader, name string) (heard, said int64, err error) {
	out := newOutbox(lazyFor)
	var me planner.Source
	d.do(func(now time.Duration) {
		for _, p := range d.peers {
			if p.name == name {
				p.fail(errNamed) // it has come back, or has a namesake, which cannot both be served
			}
		}
		me = d.p.Join(now, name)
		d.peers[me] = peer{out, name}
	})
	if me == 0 {
		return 0, 0, errClosed
	}
	var writer sync.WaitGroup
	writer.Go(func() { out.run(c) })
	var buf []byte
	for err == nil {
		if buf, err = readFrame(br, buf, planner.MaxFrame); err != nil {
			break
		}
		heard += int64(lengthprefix.Head + len(buf))
		d.do(func(now time.Duration) {
			err = planner.Decode(buf, func(m planner.Message) error {
				if m.Kind == planner.Plan || m.Kind == planner.Back {
					return errors.New("a forwarder that speaks as a planner")
				}
				d.p.Take(now, me, m)
				return nil
			})
		})
	}
	out.fail(err)
	writer.Wait()
	d.do(func(now time.Duration) {
		d.p.Leave(now, me)
		delete(d.peers, me)
	})
	return heard, out.bytes(), out.cause(err)
}

// close ends the desk and its connections.
func (d *Desk) close() {
	d.mu.Lock()
	d.closed = true
	peers := d.peers
	d.peers = nil
	d.mu.Unlock()
	for _, p := range peers {
		p.fail(errClosed)
	}
}

// deskEffects is plan.PlannerEffects, under the desk's lock.
type deskEffects struct{ *Desk }

func (d deskEffects) Tell(to planner.Source, m planner.Message) {
	if p, ok := d.peers[to]; ok {
		p.add(m)
	}
}

func (d deskEffects) SetTimer(t planner.Timer, at time.Duration) {
	time.AfterFunc(at-d.now(), func() {
		d.do(func(now time.Duration) { d.p.Timer(now, t) })
	})
}

func (d deskEffects) WatchEndpoints(on bool) {
	if on && d.opt.Watch != nil {
		d.todo = append(d.todo, d.opt.Watch)
	}
}

func (d deskEffects) Reset() {
	for _, p := range d.peers {
		p.fail(errClosed)
	}
}

func (d deskEffects) Log(text string) {
	d.todo = append(d.todo, func() { d.opt.Log.Info(text, "pool", d.pool) })
}
