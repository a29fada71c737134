package plannerrpc

import (
	"net"
	"sync"
	"time"

	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
)

const (
	// batchDelay is how long a message that nobody waits for may be delayed to be sent with more: a
	// write for each report costs as much processor time as the request that it is about.
	batchDelay = 5 * time.Millisecond
	// standbyBatchDelay is that of messages to planners that are not asked: they need reports only
	// once they are.
	standbyBatchDelay = 25 * time.Millisecond
	// maxMessageBytes is more than any encoded message has.
	maxMessageBytes = 64
)

// outbox holds the messages to be sent on a connection, up to one frame. Adding never waits: an end
// that takes too little loses its connection.
type outbox struct {
	batchDelay time.Duration
	wakeup     chan struct{} // holds one value while run has something to look at

	mu     sync.Mutex // guards what follows
	frame  []byte     // begun by lengthprefix.Begin
	urgent bool       // the other end waits for a message held
	failed error      // the first error, which ends run
	sent   int64      // bytes, before encryption
}

// newOutbox returns an empty outbox that delays messages which nobody waits for by batchDelay.
func newOutbox(batchDelay time.Duration) *outbox {
	return &outbox{batchDelay: batchDelay, wakeup: make(chan struct{}, 1), frame: lengthprefix.Begin(nil)}
}

// add adds a message. Without room for it the outbox fails.
func (o *outbox) add(m planner.Message) {
	urgent := m.Kind == planner.KindPlace || m.Kind == planner.KindPlacement || m.Kind == planner.KindDeclined
	o.mu.Lock()
	first := len(o.frame) == lengthprefix.PrefixBytes
	switch {
	case o.failed != nil:
	case len(o.frame)+maxMessageBytes > lengthprefix.PrefixBytes+planner.MaxFrame:
		o.failed, urgent = errOutboxFull, true
	default:
		o.frame = m.Append(o.frame)
		o.urgent = o.urgent || urgent
	}
	o.mu.Unlock()
	if first || urgent { // run knows already of messages that can wait
		o.wake()
	}
}

// fail ends run. The first error counts.
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
	case o.wakeup <- struct{}{}:
	default:
	}
}

// run sends what is added, all that there is at a time, until the outbox or a write fails. It closes
// the connection then.
func (o *outbox) run(conn net.Conn) {
	defer conn.Close()
	spare := lengthprefix.Begin(nil)
	for range o.wakeup {
		o.awaitBatch()
		frame, err := o.take(spare)
		if err != nil || len(frame) > lengthprefix.PrefixBytes && writeFrame(conn, frame) != nil {
			return
		}
		spare = lengthprefix.Begin(frame)
	}
}

// take returns the frame held, and replaces it by an empty one.
func (o *outbox) take(empty []byte) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	frame := o.frame
	o.frame, o.urgent = empty, false
	o.sent += int64(len(frame))
	return frame, o.failed
}

// awaitBatch waits for more messages, for batchDelay, or until somebody waits for one held.
func (o *outbox) awaitBatch() {
	timer := time.NewTimer(o.batchDelay)
	defer timer.Stop()
	for !o.isDue() {
		select {
		case <-timer.C:
			return
		case <-o.wakeup:
		}
	}
}

// isDue reports whether run has nothing to wait for.
func (o *outbox) isDue() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.urgent || o.failed != nil || len(o.frame) == lengthprefix.PrefixBytes
}

// bytesSent returns how many bytes have been sent, before encryption.
func (o *outbox) bytesSent() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// cause returns why the outbox failed, or else another error.
func (o *outbox) cause(err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed != nil {
		return o.failed
	}
	return err
}
