package check

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// AcceptErrors are the errors of accept(2), as Linux documents them, after which a listener must continue to
// accept.
var AcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPERM,
}

// FailingListener is a listener whose first calls of Accept fail, each with the next of its errors.
type FailingListener struct {
	net.Listener
	mu     sync.Mutex
	errors []syscall.Errno
}

// NewFailingListener returns a listener that fails with these errors first and then accepts from ln.
func NewFailingListener(ln net.Listener, errs ...syscall.Errno) *FailingListener {
	return &FailingListener{Listener: ln, errors: errs}
}

// Accept returns the next error or, once all errors have been returned, a connection.
func (f *FailingListener) Accept() (net.Conn, error) {
	if errno, ok := f.nextError(); ok {
		return nil, &net.OpError{Op: "accept", Net: f.Addr().Network(), Addr: f.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	return f.Listener.Accept()
}

// nextError removes and returns the next error. It returns false if none is left.
func (f *FailingListener) nextError() (syscall.Errno, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errors) == 0 {
		return 0, false
	}
	errno := f.errors[0]
	f.errors = f.errors[1:]
	return errno, true
}
