package emulator

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// ErrBacklogIgnored is returned by NewLateServer if the kernel establishes connections beyond a listener's backlog.
var ErrBacklogIgnored = errors.New("accept queue does not fill up")

// LateServer is a ScriptedServer whose accept queue is full: a connection to it is established only after Open,
// when the client's kernel retransmits the SYN.
type LateServer struct {
	*ScriptedServer
	answer  Responder
	fillers []net.Conn // connections that fill the accept queue
}

// NewLateServer starts a server that establishes no connection until Open.
func NewLateServer(answer Responder) (*LateServer, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	s := &LateServer{ScriptedServer: newScriptedServer(ln), answer: answer}
	if err := s.setBacklog(0); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	for len(s.fillers) < maxFillers {
		conn, err := net.DialTimeout("tcp", s.Addr, fillerTimeout)
		if err != nil {
			return s, nil // the queue is full
		}
		s.fillers = append(s.fillers, conn)
	}
	return nil, errors.Join(ErrBacklogIgnored, s.Close())
}

const (
	maxFillers = 8
	// fillerTimeout is longer than the establishment of a connection takes on loopback: a dial that exceeds it
	// waits because the queue is full.
	fillerTimeout = 100 * time.Millisecond
	openBacklog   = 4096
)

// setBacklog sets how many established connections may wait to be accepted.
func (s *LateServer) setBacklog(n int) error {
	raw, err := s.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("accessing an emulator's socket: %w", err)
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	if err = errors.Join(err, listenErr); err != nil {
		return fmt.Errorf("setting an emulator's backlog: %w", err)
	}
	return nil
}

// Open empties the accept queue, so that connections are established from now on. It must be called at most once.
func (s *LateServer) Open() error {
	for _, conn := range s.fillers {
		conn.Close()
	}
	if err := s.setBacklog(openBacklog); err != nil {
		return err
	}
	go s.accept(s.answer)
	return nil
}

// Close closes the listener and all connections.
func (s *LateServer) Close() error {
	for _, conn := range s.fillers {
		conn.Close()
	}
	return s.ScriptedServer.Close()
}
