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

// errClosed is the error of a session that the source has closed.
var errClosed = errors.New("stream closed by this node")

// event is an event of a session for the source's loop: a received message, the error with which the session ended, or
// neither when the session has connected.
type event struct {
	stream  uint64
	message configlog.Message
	err     error
}

// session is a node's end of one stream, or the dial for it.
type session struct {
	source *Source
	stream uint64
	relay  string
	ctx    context.Context // done after stop, or when the source is closed
	stop   context.CancelFunc
	// conn is set before the first event and used by the loop after that event. The channel synchronizes both.
	conn net.Conn
}

// startSession starts a session with a relay. Its goroutine dials and reads until the session ends.
func (s *Source) startSession(ctx context.Context, d configlog.Dial) {
	ctx, stop := context.WithCancel(ctx)
	sess := &session{source: s, stream: d.Stream, relay: d.Peer, ctx: ctx, stop: stop}
	s.sessions[d.Stream] = sess
	s.running.Go(sess.run)
}

// run connects, reads until the stream ends, and reports the error to the loop.
func (sess *session) run() {
	defer sess.stop()
	err := sess.dialAndRead()
	sess.emit(event{err: err})
}

// emit passes an event to the loop and blocks until the loop receives it. The session reads no further message while
// it is blocked. It returns false if the session was stopped.
func (sess *session) emit(e event) bool {
	e.stream = sess.stream
	select {
	case sess.source.events <- e:
		return true
	case <-sess.ctx.Done():
		return false
	}
}

// dialAndRead dials the relay, sends the hello and reads messages. It returns the error that ended the stream.
func (sess *session) dialAndRead() error {
	dialCtx, cancel := context.WithTimeout(sess.ctx, configlog.DialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", sess.source.addrs[sess.relay])
	if err != nil {
		return err
	}
	defer raw.Close()
	defer context.AfterFunc(sess.ctx, func() { raw.Close() })()
	conn := tls.Client(&meteredConn{Conn: raw, source: sess.source}, sess.source.tls)
	if err := conn.HandshakeContext(dialCtx); err != nil {
		return err
	}
	frame, err := encodeNodeFrame(kindHello, hello{Protocol: protocolVersion, Name: sess.source.opt.Name, Zone: sess.source.opt.Zone})
	if err != nil {
		return err
	}
	if err := writeFrames(conn, frame); err != nil {
		return err
	}
	sess.conn = conn
	if !sess.emit(event{}) {
		return errClosed
	}
	return sess.read(bufio.NewReaderSize(conn, sessionBufferBytes))
}

// read passes the relay's messages to the loop until the stream ends.
func (sess *session) read(reader *bufio.Reader) error {
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
		if cap(buf) > maxReusedBuffer {
			buf = nil
		}
		if changes, ok := message.(configlog.Changes); ok {
			message = appendBuffered(reader, changes)
		}
		if !sess.emit(event{message: message}) {
			return errClosed
		}
	}
}

// appendBuffered appends the changes that are already in the read buffer, so that the disk is synced once for all of
// these changes.
func appendBuffered(reader *bufio.Reader, changes configlog.Changes) configlog.Changes {
	for len(changes) < configlog.MaxLog {
		payload, complete := lengthprefix.Buffered(reader)
		if !complete {
			break
		}
		message, err := configlog.DecodeMessage(payload)
		more, ok := message.(configlog.Changes)
		if err != nil || !ok {
			break // read decodes this frame next
		}
		changes = append(changes, more...)
		_, _ = reader.Discard(lengthprefix.PrefixBytes + len(payload)) // cannot fail: these bytes are buffered
	}
	return changes
}

// meteredConn counts the bytes that a source receives and sends over TCP.
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
