// Package plannerrpc joins forwarders and planners: frames on lasting connections
// under mutual TLS. Client is a forwarder's end for one pool, Server a planner's for
// all its pools. What is said, and what follows from it, package plan decides.
package plannerrpc

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
)

// PlannerName is the DNS name that a planner's certificate must hold: forwarders
// take no other certificate of their authority for a planner's.
const PlannerName = "jasperpin-planner"

const (
	// greetWithin bounds dialling, the handshake and the greetings, each.
	greetWithin = 2 * time.Second
	// writeWithin bounds how long the other end may take nothing.
	writeWithin = 2 * time.Second
	// lazyFor is how long what nobody waits for may lie, so that it goes with more:
	// a write for each word cost as much as the request that it told of. Planners
	// that are not asked need it less soon: idleFor.
	lazyFor = 5 * time.Millisecond
	idleFor = 25 * time.Millisecond
)

// keepAlive finds ends that have vanished without a word.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Errors of a connection.
var (
	errFull   = errors.New("the other end takes messages more slowly than they come")
	errClosed = errors.New("closed")
	errNamed  = errors.New("another forwarder has connected under this name: give each node of the tier its own")
)

// readFrame reads one frame into buf, which it grows within most.
func readFrame(r *bufio.Reader, buf []byte, most int) ([]byte, error) {
	b, err := lengthprefix.Read(r, buf, most)
	if errors.Is(err, lengthprefix.ErrLong) {
		return nil, fmt.Errorf("%w: %w", planner.ErrFrame, err)
	}
	return b, err
}

// send writes a frame begun by frames.New.
func send(c net.Conn, b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := c.Write(lengthprefix.End(b)); err != nil {
		return fmt.Errorf("sending a frame: %w", err)
	}
	return nil
}

// outbox holds what is to be sent, up to a frame. Whoever adds never waits: an end
// that takes too little loses its connection, and with it nothing but advice.
type outbox struct {
	mu     sync.Mutex
	buf    []byte
	failed error
	urgent bool  // somebody waits for what is held
	sent   int64 // bytes, before encryption
	some   chan struct{}
	lazy   time.Duration
}

// newOutbox makes an empty one, in which words that can wait do so for a time.
func newOutbox(lazy time.Duration) *outbox {
	return &outbox{buf: lengthprefix.New(nil), some: make(chan struct{}, 1), lazy: lazy}
}

// longestMessage is room for any message.
const longestMessage = 64

func (o *outbox) add(m planner.Message) {
	urgent := m.Kind == planner.Ask || m.Kind == planner.Plan || m.Kind == planner.Back
	o.mu.Lock()
	first := len(o.buf) == lengthprefix.Head
	switch {
	case o.failed != nil:
	case len(o.buf)+longestMessage > lengthprefix.Head+planner.MaxFrame:
		o.failed, urgent = errFull, true
	default:
		o.buf = m.Append(o.buf)
		o.urgent = o.urgent || urgent
	}
	o.mu.Unlock()
	if first || urgent { // of more that can wait run knows already
		o.wake()
	}
}

// fail has run end.
func (o *outbox) fail(err error) {
	o.mu.Lock()
	if o.failed == nil {
		o.failed = err
	}
	o.mu.Unlock()
	o.wake()
}

func (o *outbox) wake() {
	select {
	case o.some <- struct{}{}:
	default:
	}
}

// run sends what is added, all that there is at a time, until that fails, and
// closes the connection then.
func (o *outbox) run(c net.Conn) {
	defer c.Close()
	spare := lengthprefix.New(nil)
	for range o.some {
		o.linger()
		o.mu.Lock()
		b, err := o.buf, o.failed
		o.buf, o.urgent = spare, false
		o.sent += int64(len(b))
		o.mu.Unlock()
		if err != nil || len(b) > lengthprefix.Head && send(c, b) != nil {
			return
		}
		spare = lengthprefix.New(b)
	}
}

// linger waits a while for more, unless somebody waits.
func (o *outbox) linger() {
	t := time.NewTimer(o.lazy)
	defer t.Stop()
	for {
		o.mu.Lock()
		now := o.urgent || o.failed != nil || len(o.buf) == lengthprefix.Head
		o.mu.Unlock()
		if now {
			return
		}
		select {
		case <-t.C:
			return
		case <-o.some:
		}
	}
}

// bytes is how many have been sent.
func (o *outbox) bytes() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// cause is why an outbox failed, or another error.
func (o *outbox) cause(err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed != nil {
		return o.failed
	}
	return err
}
