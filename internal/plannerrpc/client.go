package plannerrpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
)

// Between tries to connect, doubled from the least to the most and spread by half.
const (
	leastPause = 100 * time.Millisecond
	mostPause  = 2 * time.Second
)

// ClientOptions say who asks, for what, and whom.
type ClientOptions struct {
	Name     string // of the forwarder
	Pool     string
	Classes  []string // in the order of their numbers
	Planners []string // addresses, in the order in which they are asked
	TLS      *tls.Config
	Seed     uint64
	Log      *slog.Logger
	Left     func(*Client) // is called by Close; may be nil
}

// Client is a forwarder's end for one pool. It is a core.Guide.
type Client struct {
	opt    ClientOptions
	start  time.Time
	answer func(decide.RequestID, decide.ServerID)

	mu    sync.Mutex
	f     *planner.Forwarder
	todo  []func()
	links []*link
	left  bool

	ctx  context.Context
	stop context.CancelFunc
	runs sync.WaitGroup
}

// link is the connection to one planner, made anew whenever it ends.
type link struct {
	c    *Client
	n    int
	addr string
	out  *outbox // of the connection there is, guarded by the client's lock
	ctx  context.Context
	stop context.CancelFunc
}

// NewClient makes a client; Start has it connect.
func NewClient(opt ClientOptions) *Client {
	c := &Client{opt: opt, start: time.Now()}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.f = planner.NewForwarder(planner.Defaults, len(opt.Planners), opt.Seed, clientEffects{c})
	return c
}

// Start connects to the planners. Answers go to answer, never from within a call.
func (c *Client) Start(answer func(decide.RequestID, decide.ServerID)) {
	c.answer = answer
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connect(c.opt.Planners)
}

// connect makes the links. Called under the lock.
func (c *Client) connect(planners []string) {
	c.links = nil
	for n, addr := range planners {
		l := &link{c: c, n: n, addr: addr}
		l.ctx, l.stop = context.WithCancel(c.ctx)
		c.links = append(c.links, l)
		c.runs.Go(l.run)
	}
}

// Move replaces the planners. What waits for one of the old ones is decided alone.
func (c *Client) Move(planners []string) {
	c.do(func(now time.Duration) {
		if c.left {
			return
		}
		for _, l := range c.links {
			l.stop()
		}
		c.f.Move(len(planners))
		c.connect(planners)
	})
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.left = true
	c.mu.Unlock()
	c.stop()
	c.runs.Wait()
	if c.opt.Left != nil {
		c.opt.Left(c)
	}
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

// do has the forwarder's side take an event, and carries out what follows once the
// lock is free.
func (c *Client) do(event func(now time.Duration)) {
	c.mu.Lock()
	event(c.now())
	todo := c.todo
	c.todo = nil
	c.mu.Unlock()
	for _, f := range todo {
		f()
	}
}

// Place, with the methods that follow, is core.Guide. The pool's lock is held: nothing
// that they lead to may ask for it, and none of it does.
func (c *Client) Place(q decide.Request, left time.Duration) (wait bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.f.Ask(c.now(), q.ID, planner.Question{Class: q.Class, Key: q.Key, Hint: q.WorkHint, Left: left, Repeat: q.ClientRetry})
}

// AttemptSent tells of an attempt.
func (c *Client) AttemptSent(id decide.RequestID, attempt int, to decide.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.f.Sent(c.now(), id, attempt, to)
}

// AttemptEnded tells of its end.
func (c *Client) AttemptEnded(id decide.RequestID, attempt int, result decide.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.f.Ended(id, attempt, result)
}

// RequestClosed says that a request is over.
func (c *Client) RequestClosed(id decide.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.f.Closed(id)
}

// Counts are the requests so far, by who chose the server of their first attempt.
func (c *Client) Counts() planner.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.f.Counts()
}

// clientEffects is plan.ForwarderEffects, under the client's lock.
type clientEffects struct{ *Client }

func (c clientEffects) Tell(planner int, m planner.Message) { c.links[planner].out.add(m) }

func (c clientEffects) Go(id decide.RequestID, server decide.ServerID) {
	c.todo = append(c.todo, func() { c.answer(id, server) })
}

func (c clientEffects) SetTimer(id decide.RequestID, at time.Duration) {
	time.AfterFunc(at-c.now(), func() {
		c.do(func(now time.Duration) { c.f.Late(now, id) })
	})
}

// run keeps one planner connected.
func (l *link) run() {
	pause := leastPause
	said := ""
	for l.ctx.Err() == nil {
		began := time.Now()
		err := l.connection()
		if l.ctx.Err() != nil {
			return
		}
		if text := err.Error(); text != said { // once, however often it fails alike
			l.c.opt.Log.Warn("no planner", "planner", l.addr, "pool", l.c.opt.Pool, "err", err)
			said = text
		}
		if time.Since(began) > mostPause {
			pause = leastPause
		}
		t := time.NewTimer(time.Duration(float64(pause) * (1 + 0.5*rand.Float64())))
		select {
		case <-t.C:
		case <-l.ctx.Done():
			t.Stop()
		}
		pause = min(2*pause, mostPause)
	}
}

// connection connects, tells and hears until the connection ends, and says why.
func (l *link) connection() error {
	conn, br, err := l.dial()
	if err != nil {
		l.c.do(func(now time.Duration) {
			if l.ctx.Err() == nil {
				l.c.f.Broke(now, l.n)
			}
		})
		return err
	}
	lazy := lazyFor
	if l.n > 0 {
		lazy = idleFor
	}
	out := newOutbox(lazy)
	defer context.AfterFunc(l.ctx, func() { out.fail(errClosed) })()
	l.c.do(func(now time.Duration) {
		if l.ctx.Err() == nil {
			l.out = out
			l.c.f.Up(now, l.n)
			l.c.opt.Log.Info("planner connected", "planner", l.addr, "pool", l.c.opt.Pool)
		}
	})
	var writer sync.WaitGroup
	writer.Go(func() { out.run(conn) })
	err = l.hear(br)
	out.fail(err)
	writer.Wait()
	l.c.do(func(now time.Duration) {
		if l.ctx.Err() == nil {
			l.c.f.Broke(now, l.n)
		}
	})
	return out.cause(err)
}

// dial connects and greets.
func (l *link) dial() (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(l.ctx, greetWithin)
	defer cancel()
	d := tls.Dialer{NetDialer: &net.Dialer{KeepAliveConfig: keepAlive}, Config: l.c.opt.TLS}
	conn, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, nil, fmt.Errorf("connecting to a planner: %w", err)
	}
	// Giving up ends the greeting, too.
	defer context.AfterFunc(l.ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(greetWithin))
	h := planner.Hello{Version: planner.Version, Name: l.c.opt.Name, Pool: l.c.opt.Pool, Classes: l.c.opt.Classes}
	if err := send(conn, h.Append(lengthprefix.New(nil))); err != nil {
		conn.Close()
		return nil, nil, err
	}
	// What a planner says to a greeting is nothing, or why it refuses.
	br := bufio.NewReaderSize(conn, 16<<10)
	text, err := readFrame(br, nil, planner.MaxHello)
	if err == nil && len(text) > 0 {
		err = fmt.Errorf("the planner refuses: %.200q", text)
	}
	if err != nil {
		conn.Close()
		return nil, nil, fmt.Errorf("greeting a planner: %w", err)
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, br, nil
}

// hear takes what the planner says.
func (l *link) hear(br *bufio.Reader) error {
	var buf []byte
	for {
		b, err := readFrame(br, buf, planner.MaxFrame)
		if err != nil {
			return err
		}
		buf = b
		l.c.do(func(now time.Duration) {
			if l.ctx.Err() != nil {
				return
			}
			err = planner.Decode(b, func(m planner.Message) error {
				l.c.f.Answer(now, l.n, m)
				return nil
			})
		})
		if err != nil {
			return err
		}
	}
}
