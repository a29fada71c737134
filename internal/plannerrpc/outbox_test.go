package plannerrpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
)

// readMessages reads the frames of a connection and returns a channel with the messages of each.
func readMessages(c net.Conn) <-chan []planner.Message {
	received := make(chan []planner.Message, 100)
	go func() {
		defer close(received)
		br := bufio.NewReader(c)
		for {
			b, err := readFrame(br, nil, planner.MaxFrame)
			if err != nil {
				return
			}
			var all []planner.Message
			if err := planner.Decode(b, func(m planner.Message) error {
				all = append(all, m)
				return nil
			}); err != nil {
				return
			}
			received <- all
		}
	}()
	return received
}

// TestOutboxBatches adds messages that are not urgent, which are sent together after the batch delay, and
// an urgent one, which is sent at once together with the buffered ones.
func TestOutboxBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		outbox := newOutbox(batchDelay)
		go outbox.run(local)
		received := readMessages(remote)
		began := time.Now()
		for id := range 3 {
			outbox.add(planner.Message{Kind: planner.KindAttemptEnded, ID: decide.RequestID(id)})
		}
		if got := <-received; len(got) != 3 || time.Since(began) != batchDelay {
			t.Errorf("the peer received %d messages after %v, want 3 after batchDelay", len(got), time.Since(began))
		}
		began = time.Now()
		outbox.add(planner.Message{Kind: planner.KindAttemptEnded, ID: 7})
		synctest.Wait()
		outbox.add(planner.Message{Kind: planner.KindPlace, ID: 8})
		if got := <-received; len(got) != 2 || time.Since(began) != 0 {
			t.Errorf("the peer received %d messages after %v, want 2 at once", len(got), time.Since(began))
		}
		outbox.fail(errClosed)
		if _, more := <-received; more || !errors.Is(outbox.cause(nil), errClosed) {
			t.Errorf("after fail: cause %v, want errClosed and a closed connection", outbox.cause(nil))
		}
	})
}

// TestOutboxIsBounded adds messages for a peer that reads none: adding never blocks, and the connection
// is closed.
func TestOutboxIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		o := newOutbox(batchDelay)
		done := make(chan struct{})
		go func() {
			o.run(local)
			close(done)
		}()
		for range planner.MaxFrame {
			o.add(planner.Message{Kind: planner.KindPlace, RequestInfo: planner.RequestInfo{Key: 1 << 63}})
		}
		if len(o.frame) > lengthprefix.PrefixBytes+planner.MaxFrame || !errors.Is(o.cause(nil), errOutboxFull) {
			t.Errorf("the outbox buffers %d bytes and its cause is %v, want at most a frame and errOutboxFull", len(o.frame), o.cause(nil))
		}
		<-done // the write in progress is aborted, too
		if _, err := remote.Read(make([]byte, 1)); err == nil {
			t.Error("connection is still open")
		}
	})
}

// FuzzReadFrame reads arbitrary bytes as frames: each payload is within the limit and has the length
// that its prefix states.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, 1, 2, 0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		const limit = 64
		br := bufio.NewReader(bytes.NewReader(text))
		var buf []byte
		for {
			b, err := readFrame(br, buf, limit)
			if err != nil {
				return
			}
			n := int(binary.BigEndian.Uint32(text))
			if len(b) != n || n > limit || !bytes.Equal(b, text[lengthprefix.PrefixBytes:lengthprefix.PrefixBytes+n]) {
				t.Fatalf("readFrame returned %x of %x, want the payload of the first frame, within the limit", b, text)
			}
			text, buf = text[lengthprefix.PrefixBytes+n:], b
		}
	})
}
