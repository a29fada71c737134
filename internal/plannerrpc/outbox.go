package plannerrpc

import (
	"net"
	"sync"
	"time"

	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
)

const (
	// batchDelay is the longest delay of a message that is not urgent, so that it is sent in one write
	// with others. A write for each report would cost as much CPU time as the request it describes.
	batchDelay = 5 * time.Millisecond
	// standbyBatchDelay is the batch delay for planners after the first, which need the reports only
	// when the first one fails.
	standbyBatchDelay = 25 * time.Millisecond
	// maxMessageBytes is an upper bound of the length of an encoded message.
	maxMessageBytes = 64
)

// outbox buffers up to one frame of messages to be sent on a connection. Adding a message never blocks:
// if the buffer is full, because the peer reads too slowly, the connection is closed.
type outbox struct {
	batchDelay time.Duration
	wakeup     chan struct{} // capacity 1; signals run that the fields below have changed

	mu     sync.Mutex // guards the fields below
	frame  []byte     // buffered messages; started by lengthprefix.Begin
	urgent bool       // whether the peer waits for a buffered message
	failed error      // the first error, which ends run
	sent   int64      // bytes sent, before encryption
}

// newOutbox returns an empty outbox that delays messages that are not urgent by up to batchDelay.
func newOutbox(batchDelay time.Duration) *outbox {
	return &outbox{batchDelay: batchDelay, wakeup: make(chan struct{}, 1), frame: lengthprefix.Begin(nil)}
}

// add adds a message. If the buffer is full, the outbox fails with errOutboxFull.
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
	if first || urgent { // run has been woken already for messages that are not urgent
		o.wake()
	}
}

// fail ends run with an error. If there are several errors, the first one is kept.
func (o *outbox) fail(err error) {
	o.mu.Lock()
	if o.failed == nil {
		o.failed = err
	}
	o.mu.Unlock()
	o.wake()
}

// wake signals run without blocking.
func (o *outbox) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// run sends the buffered messages, all of them in one write, until the outbox or a write fails. Then it
// closes the connection.
func (o *outbox) run(conn net.Conn) {
	defer conn.Close()
	spare := lengthprefix.Begin(nil)
	for range o.wakeup {
		o.awaitBatch()
		frame, err := o.swapFrame(spare)
		if err != nil || len(frame) > lengthprefix.PrefixBytes && writeFrame(conn, frame) != nil {
			return
		}
		spare = lengthprefix.Begin(frame)
	}
}

// swapFrame returns the buffered frame and replaces it with an empty one.
func (o *outbox) swapFrame(empty []byte) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	frame := o.frame
	o.frame, o.urgent = empty, false
	o.sent += int64(len(frame))
	return frame, o.failed
}

// awaitBatch waits for more messages until batchDelay has passed or a buffered message is urgent.
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

// isDue reports whether run has no reason to wait for more messages: the outbox is empty, has failed, or
// has an urgent message.
func (o *outbox) isDue() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.urgent || o.failed != nil || len(o.frame) == lengthprefix.PrefixBytes
}

// bytesSent returns the number of bytes sent, before encryption.
func (o *outbox) bytesSent() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

// cause returns the error with which the outbox failed, or err if it has not failed.
func (o *outbox) cause(err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed != nil {
		return o.failed
	}
	return err
}
