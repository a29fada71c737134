package emulator

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// ErrBacklogIgnored says that the kernel accepts connections beyond a listener's backlog.
var ErrBacklogIgnored = errors.New("accept queue does not fill up")

// LateServer is a scripted server with a full accept queue: connections to it are established only after
// Open, once their kernel retransmits the SYN.
type LateServer struct {
	*ScriptedServer
	answer  Responder
	fillers []net.Conn // connections that fill the accept queue
}

// NewLateServer starts a server to which no connection is established until Open.
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
		c, err := net.DialTimeout("tcp", s.Addr, fillerTimeout)
		if err != nil {
			return s, nil // the queue is full
		}
		s.fillers = append(s.fillers, c)
	}
	return nil, errors.Join(ErrBacklogIgnored, s.Close())
}

const (
	maxFillers = 8
	// fillerTimeout is longer than loopback takes to establish a connection: what takes longer waits.
	fillerTimeout = 100 * time.Millisecond
	openBacklog   = 4096
)

// setBacklog sets how many connections may wait to be accepted.
func (s *LateServer) setBacklog(n int) error {
	raw, err := s.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("reaching an emulator's socket: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("setting an emulator's backlog: %w", err)
	}
	return nil
}

// Open lets connections be established from now on. Call it once.
func (s *LateServer) Open() error {
	for _, c := range s.fillers {
		c.Close()
	}
	if err := s.setBacklog(openBacklog); err != nil {
		return err
	}
	go s.accept(s.answer)
	return nil
}

// Close ends the server and its connections.
func (s *LateServer) Close() error {
	for _, c := range s.fillers {
		c.Close()
	}
	return s.ScriptedServer.Close()
}
