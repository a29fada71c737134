package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jasperpin/internal/core"
)

const (
	// maxTimeoutExcess is by how much the timeout in a request may exceed the remaining time when the first
	// byte is written. After a longer delay of the node the request is built again.
	maxTimeoutExcess = 20 * time.Millisecond
	// maxWrittenExcess is by how much the timeout in a request may exceed the remaining time when any later byte is
	// written: a server reads the request slowly.
	maxWrittenExcess = 100 * time.Millisecond
	// longBodyShare is the part of the remaining time that is announced in a request with a body that the kernel may
	// not take at once: the server gets its last byte later, and the announced time counts from then.
	longBodyShare = 0.5
	// maxBuilds limits how often a request is built for this reason. Each build announces a timeout that is
	// shorter by twice the duration of the previous build: on a slow node, building a long request takes longer
	// than maxTimeoutExcess.
	maxBuilds = 4
	// typicalHeadBytes is the approximate size of a request's head, for the initial size of its buffer.
	typicalHeadBytes = 4 << 10
	// maxCopiedBody is the longest body that is copied behind the head of its request, in bytes.
	maxCopiedBody = 4 << 10
)

// Errors of a request that was not written, or not completely.
var (
	errAttemptInvalid  = errors.New("attempt is no longer valid")
	errTimeoutTooLarge = errors.New("timeout in the request exceeds the remaining time")
)

// sentRequest is a request with a complete body, and the result of writing it.
type sentRequest struct {
	request *http.Request
	timeout time.Duration // timeout announced to the server
	bytes   int           // number of bytes written; if send fails, not all bytes were written, and the request cannot run
}

// send writes a request whose body is complete. Its error wraps errAttemptInvalid or the error of the
// connection.
func (c *serverConn) send(message *core.Message, addr string, deadlines core.AttemptDeadlines, gate core.AttemptGate) (sent sentRequest, err error) {
	var buildTime time.Duration
	share := deadlines.TimeoutShare
	if len(message.Body) > sendBufferBytes {
		share *= longBodyShare
	}
	for range maxBuilds {
		began := time.Now()
		sent.timeout = time.Duration(share * float64(deadlines.Remaining()-buildTime))
		sent.request = newRequest(message, addr, sent.timeout)
		head, body, err := encode(sent.request, message.Body)
		if err != nil {
			return sentRequest{}, err
		}
		sent.bytes, err = c.write(checkBeforeWrite(deadlines, gate, sent.timeout), head, body)
		if sent.bytes > 0 || !errors.Is(err, errTimeoutTooLarge) {
			return sent, err
		}
		buildTime = 2 * time.Since(began)
	}
	return sent, errAttemptInvalid
}

// encode returns a request in two parts, which are written one after the other: a long body is not copied, as its server
// may take long to read it. A short one is part of the first part, for one system call.
func encode(request *http.Request, body []byte) (head, rest []byte, err error) {
	if len(body) <= maxCopiedBody {
		var text bytes.Buffer
		text.Grow(typicalHeadBytes)
		err = request.Write(&text)
		head = text.Bytes()
	} else {
		var text headBuffer
		text.Grow(typicalHeadBytes)
		err = request.Write(&text)
		head, rest = text.Bytes(), body
	}
	if err != nil {
		return nil, nil, fmt.Errorf("building a request: %w", err)
	}
	return head, rest, nil
}

// headBuffer keeps the head of the request that is written to it, and drops the body. It is an io.ByteWriter, so that
// net/http writes to it without a buffer, and begins the body in a call of its own.
type headBuffer struct {
	bytes.Buffer
	complete bool // the head ends in the buffer
}

func (b *headBuffer) Write(p []byte) (int, error) {
	if !b.complete {
		b.Buffer.Write(p) // never fails
		b.complete = bytes.HasSuffix(b.Bytes(), []byte("\r\n\r\n"))
	}
	return len(p), nil
}

// WriteString is Write for a string.
func (b *headBuffer) WriteString(text string) (int, error) { return b.Write([]byte(text)) }

// ReadFrom drops a body, and keeps io.Copy from storing it in the embedded buffer.
func (b *headBuffer) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(io.Discard, r) //nolint:wrapcheck // the reader's own error
}

// checkBeforeWrite returns the function that is called before each write of a request. It checks that the
// attempt is still valid, and that the timeout in the request does not exceed the remaining time by more than
// maxTimeoutExcess, before the first byte, or maxWrittenExcess.
func checkBeforeWrite(deadlines core.AttemptDeadlines, gate core.AttemptGate, timeout time.Duration) func() error {
	maxExcess := maxTimeoutExcess
	return func() error {
		switch {
		case !gate.StillValid():
			return errAttemptInvalid
		case timeout-deadlines.Remaining() > maxExcess:
			return errTimeoutTooLarge
		}
		maxExcess = maxWrittenExcess
		return nil
	}
}

// write writes parts one after the other, as fast as the socket accepts them, and calls check right before each write(2),
// with no other operation between the two, so that no delay of the process before the check matters. It returns how many
// bytes were written. Its error wraps the error of check or of the connection.
func (c *serverConn) write(check func() error, parts ...[]byte) (sent int, err error) {
	for _, part := range parts {
		n, err := c.writePart(part, check)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// writePart is write for one part.
func (c *serverConn) writePart(text []byte, check func() error) (sent int, err error) {
	var failed error
	err = c.raw.Write(func(fd uintptr) bool {
		for sent < len(text) {
			if failed = check(); failed != nil {
				return true
			}
			n, errno := syscall.Write(int(fd), text[sent:])
			switch {
			case n > 0:
				sent += n
			case errors.Is(errno, syscall.EINTR):
			case errors.Is(errno, syscall.EAGAIN):
				return false // called again when the socket is writable
			default:
				failed = os.NewSyscallError("write", errno)
				return true
			}
		}
		return true
	})
	if err = errors.Join(failed, err); err != nil {
		return sent, fmt.Errorf("writing a request: %w", err)
	}
	return sent, nil
}

// lastWritten returns when the last byte that was written left for the server. The node may have been held up since.
func (c *serverConn) lastWritten() time.Time {
	var ago time.Duration
	// Control fails only on a closed connection, whose attempt ends.
	_ = c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Notsent_bytes == 0 {
			ago = time.Duration(info.Last_data_sent) * time.Millisecond
		}
	})
	return time.Now().Add(-ago)
}

// validatingWriter writes a streaming request while its attempt is valid.
type validatingWriter struct {
	conn *serverConn
	gate core.AttemptGate
}

func (w validatingWriter) Write(p []byte) (int, error) {
	return w.conn.writePart(p, func() error {
		if !w.gate.StillValid() {
			return errAttemptInvalid
		}
		return nil
	})
}
