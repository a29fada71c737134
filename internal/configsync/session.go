package configsync

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"

	"jasperpin/internal/configlog"
	"jasperpin/internal/lengthprefix"
)

// sessionBufferBytes is the size of a session's read buffer.
const sessionBufferBytes = 4 << 10

// errClosed ends a session that the source has closed.
var errClosed = errors.New("the stream was closed by this node")

// event is what a session reports to the source's loop: a message, an error at its end, or neither once it is
// connected.
type event struct {
	stream  uint64
	message configlog.Message
	err     error
}

// session is a node's end of one stream, or a dial for one.
type session struct {
	source *Source
	stream uint64
	relay  string
	ctx    context.Context // ends with stop, or with the source
	stop   context.CancelFunc
	// conn is set before the first event, and used by the loop after that: the channel orders both.
	conn net.Conn
}

// startSession dials a relay in a goroutine, which ends with the session.
func (s *Source) startSession(ctx context.Context, d configlog.Dial) {
	ctx, stop := context.WithCancel(ctx)
	x := &session{source: s, stream: d.Stream, relay: d.Peer, ctx: ctx, stop: stop}
	s.sessions[d.Stream] = x
	s.running.Go(x.run)
}

// run connects, and reads until the stream ends.
func (x *session) run() {
	defer x.stop()
	err := x.dialAndRead()
	x.emit(event{err: err})
}

// emit passes an event to the loop. It waits until the loop takes it: until then nothing more is read. It returns
// false where the session was stopped.
func (x *session) emit(e event) bool {
	e.stream = x.stream
	select {
	case x.source.events <- e:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// dialAndRead returns why the stream ended.
func (x *session) dialAndRead() error {
	dialCtx, cancel := context.WithTimeout(x.ctx, configlog.DialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", x.source.addrs[x.relay])
	if err != nil {
		return err
	}
	defer raw.Close()
	defer context.AfterFunc(x.ctx, func() { raw.Close() })()
	conn := tls.Client(&meteredConn{Conn: raw, source: x.source}, x.source.tls)
	if err := conn.HandshakeContext(dialCtx); err != nil {
		return err
	}
	greeting, err := encodeNodeFrame(kindHello, hello{Protocol: protocolVersion, Name: x.source.opt.Name, Zone: x.source.opt.Zone})
	if err != nil {
		return err
	}
	if err := writeFrames(conn, greeting); err != nil {
		return err
	}
	x.conn = conn
	if !x.emit(event{}) {
		return errClosed
	}
	return x.read(bufio.NewReaderSize(conn, sessionBufferBytes))
}

// read passes the relay's messages to the loop until the stream ends.
func (x *session) read(reader *bufio.Reader) error {
	var buf []byte
	for {
		payload, err := readFrame(reader, buf, configlog.MaxMessage)
		if err != nil {
			return err
		}
		message, err := decodeMessage(payload)
		if err != nil {
			return err
		}
		buf = payload
		if cap(buf) > maxKeptBuffer {
			buf = nil
		}
		if changes, ok := message.(configlog.Changes); ok {
			message = appendBuffered(reader, changes)
		}
		if !x.emit(event{message: message}) {
			return errClosed
		}
	}
}

// appendBuffered adds the changes that are in the read buffer already: all of them take one sync of the disk.
func appendBuffered(reader *bufio.Reader, changes configlog.Changes) configlog.Changes {
	for len(changes) < configlog.MaxLog {
		payload, complete := lengthprefix.Buffered(reader)
		if !complete {
			break
		}
		message, err := configlog.DecodeMessage(payload)
		more, ok := message.(configlog.Changes)
		if err != nil || !ok {
			break // read takes it next
		}
		changes = append(changes, more...)
		_, _ = reader.Discard(lengthprefix.PrefixBytes + len(payload)) // as many are buffered
	}
	return changes
}

// meteredConn counts a source's bytes, as TCP carries them.
type meteredConn struct {
	net.Conn
	source *Source
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.source.receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.source.sentBytes.Add(int64(n))
	return n, err
}
