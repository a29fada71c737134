package check

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// AcceptErrors are errors of accept(2) that pass, as Linux documents them.
var AcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPERM,
}

// Failing is a listener whose calls of Accept fail first, once with each error.
type Failing struct {
	net.Listener
	mu   sync.Mutex
	left []syscall.Errno
}

// NewFailing makes a failing listener of one that works.
func NewFailing(ln net.Listener, errs ...syscall.Errno) *Failing {
	return &Failing{Listener: ln, left: errs}
}

// Accept fails while errors are left, and then accepts.
func (f *Failing) Accept() (net.Conn, error) {
	f.mu.Lock()
	if len(f.left) > 0 {
		errno := f.left[0]
		f.left = f.left[1:]
		f.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Net: f.Addr().Network(), Addr: f.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	f.mu.Unlock()
	return f.Listener.Accept()
}
