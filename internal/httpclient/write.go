package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"jasperpin/internal/core"
)

const (
	// maxDeadlineError is by how much the time-out in a request may exceed what is left when the first byte is
	// written. Where the node was delayed for longer the request is built again.
	maxDeadlineError = 20 * time.Millisecond
	// maxBuilds bounds how often a request is built for that. Each build announces less, by twice what the one
	// before has taken: a long request on a slow node takes longer than maxDeadlineError to build.
	maxBuilds = 4
	// typicalHeadBytes is about what a request's head takes, to size its buffer.
	typicalHeadBytes = 4 << 10
)

// Why a request was not written, or not completely.
var (
	errNotValid        = errors.New("the attempt is no longer valid")
	errTimeoutTooLarge = errors.New("the time-out in the request is too large by now")
)

// sentRequest is a request whose body was complete, and what became of it.
type sentRequest struct {
	request *http.Request
	timeout time.Duration // as announced to the server
	bytes   int           // written to the socket; fewer than all where send fails, and then it cannot run
}

// send writes a request whose body is complete. Its error wraps errNotValid or that of the connection.
func (c *serverConn) send(m *core.Message, addr string, deadlines core.AttemptDeadlines, gate core.AttemptGate) (sent sentRequest, err error) {
	var buildTime time.Duration
	for range maxBuilds {
		began := time.Now()
		sent.timeout = deadlines.Remaining() - buildTime
		sent.request = newRequest(m, addr, sent.timeout)
		var text bytes.Buffer
		text.Grow(len(m.Body) + typicalHeadBytes)
		if err := sent.request.Write(&text); err != nil {
			return sentRequest{}, fmt.Errorf("building a request: %w", err)
		}
		sent.bytes, err = c.write(text.Bytes(), checkBeforeWrite(deadlines, gate, sent.timeout))
		if sent.bytes > 0 || !errors.Is(err, errTimeoutTooLarge) {
			return sent, err
		}
		buildTime = 2 * time.Since(began)
	}
	return sent, errNotValid
}

// checkBeforeWrite returns the check that precedes each write of a request: the attempt is still valid and,
// before the first byte, the time-out in the request is not much more than what is left.
func checkBeforeWrite(deadlines core.AttemptDeadlines, gate core.AttemptGate, timeout time.Duration) func() error {
	begun := false
	return func() error {
		switch {
		case !gate.StillValid():
			return errNotValid
		case !begun && timeout-deadlines.Remaining() > maxDeadlineError:
			return errTimeoutTooLarge
		}
		begun = true
		return nil
	}
}

// write writes bytes as the socket takes them, and calls check right before each write(2): nothing but the
// system call itself lies between, however long the process was delayed before. It returns how many bytes
// were written. Its error wraps that of check or of the connection.
func (c *serverConn) write(text []byte, check func() error) (sent int, err error) {
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
				return false // called again once the socket takes more
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

// validatingWriter writes a streaming request, as long as its attempt is valid.
type validatingWriter struct {
	conn *serverConn
	gate core.AttemptGate
}

func (w validatingWriter) Write(p []byte) (int, error) {
	return w.conn.write(p, func() error {
		if !w.gate.StillValid() {
			return errNotValid
		}
		return nil
	})
}
