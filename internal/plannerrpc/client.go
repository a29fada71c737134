package plannerrpc

import (
	"context"
	"crypto/tls"
	"log/slog"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/planner"
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	Name     string // of the forwarder, different from all others'
	Pool     string
	Classes  []string // in the order of their numbers
	Planners []string // addresses, in the order of preference
	TLS      *tls.Config
	Seed     uint64
	Log      *slog.Logger
	OnClose  func(*Client) // is called at the end of Close; may be nil
}

// Client is a forwarder's end for one pool. It is a core.Placer: the pool's lock is held during
// calls, and nothing that they lead to asks for it.
//
// It has a goroutine for each planner, which ends when the planner is replaced or the Client closed.
type Client struct {
	options ClientOptions
	start   time.Time                               // the zero of its clock
	answer  func(decide.RequestID, decide.ServerID) // set by Start
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu          sync.Mutex // guards what follows
	forwarder   *planner.Forwarder
	pending     []func()             // what the forwarder decided, to be called without the lock
	connections []*plannerConnection // in the order of preference
	closed      bool
}

// NewClient returns a Client that Start has connect.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options, start: time.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.forwarder = planner.NewForwarder(planner.DefaultChooserSettings, len(options.Planners), options.Seed, clientEffects{c})
	return c
}

// Start connects to the planners. Requests that were to wait are passed to answer with the server
// planned, or 0 for none; it is never called from within a call of the Client.
func (c *Client) Start(answer func(decide.RequestID, decide.ServerID)) {
	c.answer = answer
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connect(c.options.Planners)
}

// connect starts a connection to each planner. The caller holds mu.
func (c *Client) connect(addresses []string) {
	c.connections = nil
	for n, address := range addresses {
		conn := &plannerConnection{client: c, index: n, address: address}
		conn.ctx, conn.cancel = context.WithCancel(c.ctx)
		c.connections = append(c.connections, conn)
		c.running.Go(conn.run)
	}
}

// SetPlanners replaces the planners. Requests that wait for one of the old ones are answered with
// none.
func (c *Client) SetPlanners(addresses []string) {
	c.do(func(time.Duration) {
		if c.closed {
			return
		}
		for _, conn := range c.connections {
			conn.cancel()
		}
		c.forwarder.SetPlanners(len(addresses))
		c.connect(addresses)
	})
}

// Close ends all connections and waits for the Client's goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
	if c.options.OnClose != nil {
		c.options.OnClose(c)
	}
}

// now is the time on the Client's clock.
func (c *Client) now() time.Duration { return time.Since(c.start) }

// do feeds the forwarder an event, and carries out what follows once the lock is free.
func (c *Client) do(event func(now time.Duration)) {
	c.mu.Lock()
	event(c.now())
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, call := range pending {
		call()
	}
}

// Place asks a planner for the server of a request's first attempt, and reports whether to wait for
// the answer. Left is the time until the client gives up.
func (c *Client) Place(q decide.Request, left time.Duration) (wait bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forwarder.Place(c.now(), q.ID, planner.RequestInfo{Class: q.Class, Key: q.Key, WorkHint: q.WorkHint, TimeLeft: left, ClientRetry: q.ClientRetry})
}

// AttemptSent reports an attempt to the planners.
func (c *Client) AttemptSent(id decide.RequestID, attempt int, to decide.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarder.AttemptSent(c.now(), id, attempt, to)
}

// AttemptEnded reports an attempt's end to the planners.
func (c *Client) AttemptEnded(id decide.RequestID, attempt int, result decide.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarder.AttemptEnded(id, attempt, result)
}

// RequestClosed forgets a request that has its answer and no attempt in flight.
func (c *Client) RequestClosed(id decide.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarder.RequestClosed(id)
}

// Counts returns the numbers of requests so far by what chose the server of their first attempt.
func (c *Client) Counts() planner.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forwarder.Counts()
}

// clientEffects is the planner.ForwarderEffects of a Client, which is locked.
type clientEffects struct{ *Client }

// Send adds a message to a planner's outbox.
func (c clientEffects) Send(n int, m planner.Message) { c.connections[n].outbox.add(m) }

// Proceed has the request's answer passed on once the lock is free.
func (c clientEffects) Proceed(id decide.RequestID, server decide.ServerID) {
	c.pending = append(c.pending, func() { c.answer(id, server) })
}

// SetTimer starts a timer for a request.
func (c clientEffects) SetTimer(id decide.RequestID, at time.Duration) {
	time.AfterFunc(at-c.now(), func() {
		c.do(func(now time.Duration) { c.forwarder.TimerFired(now, id) })
	})
}
