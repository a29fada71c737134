package hotrestart

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// peerWriteTimeout is the timeout of a write to another process, which may be stopped, and of the
// wait for the hello on a new connection.
const peerWriteTimeout = 500 * time.Millisecond

// initialBufferBytes is the initial size of a connection's read buffer: most messages are short.
const initialBufferBytes = 4 << 10

// peerConn is a connection to another process of the node. Only one goroutine may read.
type peerConn struct {
	conn  net.Conn
	lines *bufio.Scanner

	// writeMu is held while a message is written, so that messages do not interleave. It is locked
	// before Handover.mu, except for a connection that no other goroutine has yet.
	writeMu sync.Mutex
}

// newPeerConn returns a peerConn for a connection whose first bytes have already been read.
func newPeerConn(conn net.Conn, read []byte) *peerConn {
	lines := bufio.NewScanner(io.MultiReader(bytes.NewReader(read), conn))
	lines.Buffer(make([]byte, initialBufferBytes), maxMessageBytes)
	return &peerConn{conn: conn, lines: lines}
}

// write sends one message. If that fails it closes the connection, so that the reader ends.
func (p *peerConn) write(m message) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	p.writeLocked(m, nil)
}

// writeNext sends the message that next returns, if next reports true. It calls next with writeMu held, so
// that messages are sent in the order in which they were made.
func (p *peerConn) writeNext(next func() (message, bool)) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if m, ok := next(); ok {
		p.writeLocked(m, nil)
	}
}

// writeLocked sends one message with descriptors, which the reader must expect. The caller holds
// writeMu.
func (p *peerConn) writeLocked(m message, descriptors []int) {
	line, err := encode(m)
	if err == nil {
		err = p.send(line, descriptors)
	}
	if err != nil {
		p.conn.Close()
	}
}

// send writes a line, and the descriptors with its first byte.
func (p *peerConn) send(line []byte, descriptors []int) error {
	if err := p.conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout)); err != nil {
		return fmt.Errorf("setting a write deadline: %w", err)
	}
	if len(descriptors) > 0 {
		// Send the descriptors with the first byte alone: after a short write they would be sent
		// again.
		rights := syscall.UnixRights(descriptors...)
		if _, _, err := p.conn.(*net.UnixConn).WriteMsgUnix(line[:1], rights, nil); err != nil {
			return fmt.Errorf("sending descriptors: %w", err)
		}
		line = line[1:]
	}
	if _, err := p.conn.Write(line); err != nil {
		return fmt.Errorf("sending a message: %w", err)
	}
	return nil
}

// read returns the next message, or net.ErrClosed at the end of the connection.
func (p *peerConn) read() (message, error) {
	if !p.lines.Scan() {
		if err := p.lines.Err(); err != nil {
			return message{}, fmt.Errorf("reading a message: %w", err)
		}
		return message{}, net.ErrClosed
	}
	return decode(p.lines.Bytes())
}
