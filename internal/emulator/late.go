package emulator

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// Unready is a scripted server whose connections come up late: from Open on, when their
// machines ask again.
type Unready struct {
	*Raw
	answer Reply
	full   []net.Conn // what fills its accept queue
}

// NewUnready starts a server to which no connection comes up until Open.
func NewUnready(answer Reply) (*Unready, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	s := &Unready{Raw: newRaw(ln), answer: answer}
	if err := s.queue(0); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	for len(s.full) < fullMost {
		c, err := net.DialTimeout("tcp", s.Addr, fullWait)
		if err != nil {
			return s, nil // what does not come up now waits
		}
		s.full = append(s.full, c)
	}
	return nil, errors.Join(errors.New("a stand-in's accept queue takes any number"), s.Close())
}

const (
	fullMost = 8
	fullWait = 100 * time.Millisecond // what loopback takes longer for waits for room
	openRoom = 4096
)

// queue sets how many connections wait to be accepted.
func (s *Unready) queue(most int) error {
	raw, err := s.ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("a stand-in's accept queue: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), most) })
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("a stand-in's accept queue: %w", err)
	}
	return nil
}

// Open lets connections come up from now on.
func (s *Unready) Open() error {
	for _, c := range s.full {
		c.Close()
	}
	if err := s.queue(openRoom); err != nil {
		return err
	}
	go s.accept(s.answer)
	return nil
}

// Close ends the server and its connections.
func (s *Unready) Close() error {
	for _, c := range s.full {
		c.Close()
	}
	return s.Raw.Close()
}
