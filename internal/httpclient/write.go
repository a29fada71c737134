package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// mostStale is by how much the time told to a server may be more than what is left when the first byte
// goes out. Where a node is held up for longer the request is written anew.
const mostStale = 20 * time.Millisecond

// mostRewrites bounds how often a request is written anew for that. Each time it tells less by twice what
// writing it has taken the time before: a long one on a slow node takes longer than mostStale.
const mostRewrites = 4

// headRoom is about what a request's head takes.
const headRoom = 4 << 10

// Why a request was not written, or not whole.
var (
	errNotValid = errors.New("its time is over, its client has left or its server has changed")
	errStale    = errors.New("it tells a time that was left before a pause")
)

// send writes a request that is sent whole, and gives it, the time that it tells its server, and how many
// of its bytes went out: fewer than all where it fails, and then it is known not to have run.
func (c *upConn) send(m *core.Message, addr string, start core.AttemptDeadlines, on core.AttemptGate) (req *http.Request, told time.Duration, sent int, err error) {
	var ahead time.Duration
	for range mostRewrites {
		began := time.Now()
		told = start.Remaining() - ahead
		req = request(m, addr, told)
		var text bytes.Buffer
		text.Grow(len(m.Body) + headRoom)
		if err := req.Write(&text); err != nil {
			return nil, 0, 0, fmt.Errorf("writing a request: %w", err)
		}
		begun := false
		sent, err = c.write(text.Bytes(), func() error {
			switch {
			case !on.StillValid():
				return errNotValid
			case !begun && told-start.Remaining() > mostStale:
				return errStale
			}
			begun = true
			return nil
		})
		if sent > 0 || !errors.Is(err, errStale) {
			return req, told, sent, err
		}
		ahead = 2 * time.Since(began)
	}
	return req, told, 0, errNotValid
}

// write writes bytes as the connection takes them, and asks for leave right before each write of the
// system: nothing but the call itself lies between.
func (c *upConn) write(text []byte, leave func() error) (sent int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		if err := leave(); err != nil {
			return 0, err
		}
		return c.Conn.Write(text)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("sending a request: %w", err)
	}
	var failed error
	err = raw.Write(func(fd uintptr) bool {
		for sent < len(text) {
			if failed = leave(); failed != nil {
				return true
			}
			n, errno := syscall.Write(int(fd), text[sent:])
			switch {
			case n > 0:
				sent += n
			case errors.Is(errno, syscall.EINTR):
			case errors.Is(errno, syscall.EAGAIN):
				return false
			default:
				failed = os.NewSyscallError("write", errno)
				return true
			}
		}
		return true
	})
	if err = errors.Join(failed, err); err != nil {
		return sent, fmt.Errorf("sending a request: %w", err)
	}
	return sent, nil
}

// unsent ends an attempt whose request did not go out whole: it has not run. A connection on which nothing
// was written is as good as before, unless giving up has ended it.
func (c *upConn) unsent(ctx context.Context, err error, sent int, stop func() bool) (decide.Result, *core.Answer) {
	if !errors.Is(err, errNotValid) {
		c.Close()
		return core.Outcome(ctx, true), nil
	}
	if stop() && sent == 0 {
		_ = c.SetWriteDeadline(time.Time{})
		c.srv.put(c)
	} else {
		c.Close()
	}
	if ctx.Err() == nil {
		return decide.Abandoned, nil // no server is to be blamed for it
	}
	return core.Outcome(ctx, true), nil
}

// guardedWriter writes a request that streams, as long as its attempt is valid.
type guardedWriter struct {
	c  *upConn
	on core.AttemptGate
}

func (w guardedWriter) Write(p []byte) (int, error) {
	return w.c.write(p, func() error {
		if !w.on.StillValid() {
			return errNotValid
		}
		return nil
	})
}
