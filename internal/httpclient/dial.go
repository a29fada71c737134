package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

var (
	// errDialTimeout reports that the server has not accepted a connection in time.
	errDialTimeout = errors.New("dial timeout")
	// errLocalShortage reports that this machine lacks a resource for a connection. It counts against no
	// server.
	errLocalShortage = errors.New("local resource shortage")
)

// Backoff between calls of connect(2) that fail because of a local shortage, doubled after each: resources are
// released within milliseconds as other connections close.
const (
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 50 * time.Millisecond
)

// localShortages are the errors of connect(2) and socket(2) that report a shortage on this machine. They are
// temporary and independent of the server.
var localShortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
}

// sendBufferBytes is how much of a request the kernel buffers that its server has not read: more than most requests have,
// and little enough to notice a server that reads slowly.
const sendBufferBytes = 64 << 10

// limitSendBuffer limits the send buffer of a new socket to sendBufferBytes.
func limitSendBuffer(_, _ string, raw syscall.RawConn) error {
	// If the size cannot be set, the buffer has its usual size, with which all requests can be sent as well.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
	})
	return nil
}

func isLocalShortage(err error) bool {
	return slices.ContainsFunc(localShortages, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// connect connects to an address. It fails if the server has not accepted within DialTimeout; until then it
// retries after local shortages. Its error wraps errDialTimeout, errLocalShortage, the cause of ctx, or the
// error of the network.
func (u *Upstream) connect(ctx context.Context, addr string) (*net.TCPConn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer newRunningTimer(u.DialTimeout, func() { cancel(errDialTimeout) }).stop()
	for backoff := minDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		c, err := u.dialer.DialContext(ctx, "tcp", addr)
		if err == nil {
			return c.(*net.TCPConn), nil // because the network is "tcp"
		}
		if cause := context.Cause(ctx); cause != nil {
			return nil, fmt.Errorf("connecting to %s: %w: %w", addr, cause, err)
		}
		if !isLocalShortage(err) {
			return nil, fmt.Errorf("connecting to %s: %w", addr, err)
		}
		if u.closeOldestIdle() || u.limiter.useReserve() { // either frees a descriptor
			continue
		}
		if !sleep(ctx, backoff) {
			return nil, fmt.Errorf("connecting to %s: %w: %w", addr, errLocalShortage, err)
		}
	}
}

// sleep waits for the pause. It returns false if ctx is done first.
func sleep(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runningTimerSteps is the number of steps of a runningTimer. More steps exclude the time of a stopped process
// more exactly, and cost more wake-ups.
const runningTimerSteps = 5

// runningTimer calls a function after the process has been running for a time. It waits in steps, and counts
// each step once however late its timer fires: a process that was stopped (SIGSTOP, a starved core) has not
// been waiting for the server meanwhile, and must not count the time against it.
type runningTimer struct {
	mu        sync.Mutex
	timer     *time.Timer
	stepsLeft int
}

// newRunningTimer starts a timer. It calls expired in its own goroutine, unless stop is called first.
func newRunningTimer(wait time.Duration, expired func()) *runningTimer {
	t := &runningTimer{stepsLeft: runningTimerSteps}
	step := wait / runningTimerSteps
	t.mu.Lock() // the first step may end before timer is set
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(step, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stepsLeft--; t.stepsLeft > 0 {
			t.timer.Reset(step)
		} else if t.stepsLeft == 0 {
			expired()
		}
	})
	return t
}

// stop stops the timer. The function is not called after stop has returned.
func (t *runningTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stepsLeft = 0
	t.timer.Stop()
}
