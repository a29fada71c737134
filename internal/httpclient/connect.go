package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

var errDialTimeout = errors.New("the server takes no connection")

// patienceParts is in how many parts a wait for a server is counted. A part counts once, however
// late its timer fires: a process that was stopped, or did not get to run, has not been waiting.
const patienceParts = 5

// patience calls a function once the process has waited for a time, as it ran itself.
type patience struct {
	mu    sync.Mutex
	timer *time.Timer
	left  int
}

// newPatience begins a wait of about so long.
func newPatience(wait time.Duration, over func()) *patience {
	p := &patience{left: patienceParts}
	part := wait / patienceParts
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(part, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.left--; p.left > 0 {
			p.timer.Reset(part)
		} else if p.left == 0 {
			over()
		}
	})
	return p
}

// stop ends the wait.
func (p *patience) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = 0
	p.timer.Stop()
}

// Between tries to connect that fail for want of something here, doubled from the least.
const (
	leastDialPause = 2 * time.Millisecond
	mostDialPause  = 50 * time.Millisecond
)

// scarce says whether a connection failed for want of something on this machine, which passes and
// says nothing of the server.
func scarce(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// connect connects to an address, and gives up once the server has taken no connection for the
// time of the settings. Where this machine is short of something it tries again meanwhile.
func (p *Upstream) connect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer newPatience(p.DialTimeout, func() { cancel(errDialTimeout) }).stop()
	for pause := leastDialPause; ; pause = min(2*pause, mostDialPause) {
		c, err := p.dialer.DialContext(ctx, "tcp", addr)
		if err == nil {
			return c, nil
		}
		if cause := context.Cause(ctx); cause != nil {
			return nil, fmt.Errorf("connecting to a server: %w: %w", cause, err)
		}
		if !scarce(err) {
			return nil, fmt.Errorf("connecting to a server: %w", err)
		}
		if p.yield() { // a descriptor is free again
			continue
		}
		if !sleep(ctx, pause) {
			return nil, fmt.Errorf("%w: connecting to a server: %w", errScarce, err)
		}
	}
}

// sleep pauses, and says false once the context has ended.
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
