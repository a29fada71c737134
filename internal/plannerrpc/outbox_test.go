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

// reader hears an outbox's other end.
func reader(c net.Conn) <-chan []planner.Message {
	heard := make(chan []planner.Message, 100)
	go func() {
		defer close(heard)
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
			heard <- all
		}
	}()
	return heard
}

// TestOutboxBatches adds messages that can wait, which are sent together, and one that cannot,
// which takes them along at once.
func TestOutboxBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		o := newOutbox(batchDelay)
		go o.run(near)
		heard := reader(far)
		began := time.Now()
		for id := range 3 {
			o.add(planner.Message{Kind: planner.KindAttemptEnded, ID: decide.RequestID(id)})
		}
		if got := <-heard; len(got) != 3 || time.Since(began) != batchDelay {
			t.Errorf("%d words after %v", len(got), time.Since(began))
		}
		began = time.Now()
		o.add(planner.Message{Kind: planner.KindAttemptEnded, ID: 7})
		synctest.Wait()
		o.add(planner.Message{Kind: planner.KindPlace, ID: 8})
		if got := <-heard; len(got) != 2 || time.Since(began) != 0 {
			t.Errorf("%d words after %v", len(got), time.Since(began))
		}
		o.fail(errClosed)
		if _, more := <-heard; more || !errors.Is(o.cause(nil), errClosed) {
			t.Errorf("after its end: %v", o.cause(nil))
		}
	})
}

// TestOutboxIsBounded adds messages for an end that takes none: adding never waits, and the
// connection ends.
func TestOutboxIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		o := newOutbox(batchDelay)
		done := make(chan struct{})
		go func() {
			o.run(near)
			close(done)
		}()
		for range planner.MaxFrame {
			o.add(planner.Message{Kind: planner.KindPlace, RequestInfo: planner.RequestInfo{Key: 1 << 63}})
		}
		if len(o.frame) > lengthprefix.PrefixBytes+planner.MaxFrame || !errors.Is(o.cause(nil), errOutboxFull) {
			t.Errorf("%d bytes are held: %v", len(o.frame), o.cause(nil))
		}
		<-done // the write that was under way is given up, too
		if _, err := far.Read(make([]byte, 1)); err == nil {
			t.Error("the connection still stands")
		}
	})
}

// FuzzReadFrame reads any bytes as frames: what it returns is within the limit and as the length
// says.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, 1, 2, 0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		const most = 64
		br := bufio.NewReader(bytes.NewReader(text))
		var buf []byte
		for {
			b, err := readFrame(br, buf, most)
			if err != nil {
				return
			}
			n := int(binary.BigEndian.Uint32(text))
			if len(b) != n || n > most || !bytes.Equal(b, text[lengthprefix.PrefixBytes:lengthprefix.PrefixBytes+n]) {
				t.Fatalf("read %x of %x", b, text)
			}
			text, buf = text[lengthprefix.PrefixBytes+n:], b
		}
	})
}
