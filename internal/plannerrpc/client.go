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
	Name     string // the forwarder's name; unique in the tier
	Pool     string
	Classes  []string // class names, in the order of their numbers in messages
	Planners []string // planner addresses, in the order of preference
	TLS      *tls.Config
	Seed     uint64
	Log      *slog.Logger
	OnClose  func(*Client) // called at the end of Close; may be nil
}

// Client is a forwarder's end for one pool. It implements core.Placer, whose methods are called with the
// pool's lock held; these methods never acquire that lock.
//
// A Client has one goroutine for each planner, which ends when the planner is replaced or the Client is
// closed.
type Client struct {
	options ClientOptions
	start   time.Time                               // zero of the Client's clock
	answer  func(decide.RequestID, decide.ServerID) // set by Start
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	forwarder   *planner.Forwarder
	pending     []func()             // effects of the forwarder, to be called without the lock
	connections []*plannerConnection // in the order of preference
	closed      bool
}

// NewClient returns a Client that connects to its planners once Start is called.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options, start: time.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.forwarder = planner.NewForwarder(planner.DefaultChooserSettings, len(options.Planners), options.Seed, clientEffects{c})
	return c
}

// Start connects to the planners. Answer is called for each request that waits for a planner, with the
// planned server, or 0 for none. It is never called from within a core.Placer method of the Client.
func (c *Client) Start(answer func(decide.RequestID, decide.ServerID)) {
	c.answer = answer
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connect(c.options.Planners)
}

// connect starts a connection to each planner. The caller must hold mu.
func (c *Client) connect(addresses []string) {
	c.connections = nil
	for n, address := range addresses {
		conn := &plannerConnection{client: c, index: n, address: address}
		conn.ctx, conn.cancel = context.WithCancel(c.ctx)
		c.connections = append(c.connections, conn)
		c.running.Go(conn.run)
	}
}

// SetPlanners replaces the planners. Requests that wait for an old planner are answered without a server.
func (c *Client) SetPlanners(addresses []string) {
	c.handleEvent(func(time.Duration) {
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

// Close closes all connections and waits until the Client's goroutines have ended.
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

// now returns the time on the Client's clock.
func (c *Client) now() time.Duration { return time.Since(c.start) }

// handleEvent passes an event to the forwarder with mu held, then carries out the pending effects without it.
func (c *Client) handleEvent(event func(now time.Duration)) {
	c.mu.Lock()
	event(c.now())
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, call := range pending {
		call()
	}
}

// Place asks a planner for the server of a request's first attempt, and reports whether the request must
// wait for the answer. Remaining is the time left until the request's deadline.
func (c *Client) Place(q decide.Request, remaining time.Duration) (wait bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forwarder.Place(c.now(), q.ID, planner.RequestInfo{Class: q.Class, Key: q.Key, WorkHint: q.WorkHint, Remaining: remaining, ClientRetry: q.ClientRetry})
}

// AttemptSent reports to the planners that an attempt has been sent to a server.
func (c *Client) AttemptSent(id decide.RequestID, attempt int, to decide.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarder.AttemptSent(c.now(), id, attempt, to)
}

// AttemptEnded reports the end of an attempt to the planners.
func (c *Client) AttemptEnded(id decide.RequestID, attempt int, result decide.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarder.AttemptEnded(id, attempt, result)
}

// RequestClosed removes a request that has its final answer and no attempt in flight.
func (c *Client) RequestClosed(id decide.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarder.RequestClosed(id)
}

// Counts returns the numbers of requests so far, by whether a planner or the forwarder chose the server of
// their first attempt.
func (c *Client) Counts() planner.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forwarder.Counts()
}

// clientEffects implements planner.ForwarderEffects for a Client. Its methods are called with mu held.
type clientEffects struct{ *Client }

// Send adds a message to a planner's outbox.
func (c clientEffects) Send(n int, m planner.Message) { c.connections[n].outbox.add(m) }

// Proceed queues the request's answer, which is passed on after mu is released.
func (c clientEffects) Proceed(id decide.RequestID, server decide.ServerID) {
	c.pending = append(c.pending, func() { c.answer(id, server) })
}

// SetTimer starts a timer for a request.
func (c clientEffects) SetTimer(id decide.RequestID, at time.Duration) {
	time.AfterFunc(at-c.now(), func() {
		c.handleEvent(func(now time.Duration) { c.forwarder.TimerFired(now, id) })
	})
}
