// Package admin implements the protocol by which operators and their tools query a node's state and
// take servers out of rotation: a server at its own address, and a client.
//
// A connection carries one call, a line of words; Operator describes the calls. The answer is "done",
// "done" followed by lines and "end", or "error" with the reason.
package admin

import (
	"bufio"
	"container/list"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"jasperpin/internal/acceptor"
)

const (
	// MaxConns is the maximum number of open connections. They use descriptors that the limits
	// reserve: neither clients nor servers can take them.
	MaxConns = 16
	// MaxCallBytes bounds a call: its name, and the names of a pool and a server.
	MaxCallBytes = 512
	// readTimeout bounds how long a caller may take to send its line. Operators' tools send it at
	// once, and wait 1 s for the complete answer.
	readTimeout = time.Second
	// writeTimeout bounds how long a caller may take to read its answer.
	writeTimeout = time.Second
)

// Server answers operators' calls. One goroutine accepts connections, and each connection has its own
// goroutine; Close stops all and waits for them.
type Server struct {
	operator Operator
	listener net.Listener
	running  sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	awaitingCall list.List  // list of net.Conn: connections that have not sent a call, oldest first
	open         int        // number of connections
	freed        *sync.Cond // signaled under mu when a connection or the server has been closed
	closed       bool
}

// New returns a server that answers calls on a listener until Close.
func New(ln net.Listener, op Operator, log *slog.Logger) *Server {
	s := &Server{operator: op, listener: acceptor.New(ln, "operators", log)}
	s.freed = sync.NewCond(&s.mu)
	s.running.Go(s.accept)
	return s
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting, closes the connections that have not sent a call, and waits until the other
// calls are answered.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for e := s.awaitingCall.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	s.freed.Broadcast()
	s.mu.Unlock()
	s.listener.Close()
	s.running.Wait()
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // the listener is closed: acceptor retries all other errors
		}
		element, ok := s.admit(conn)
		if !ok {
			conn.Close()
			return
		}
		s.running.Go(func() {
			s.serve(conn, element)
			conn.Close()
			s.release(element)
		})
	}
}

// admit registers a connection. At the limit it closes the connection that has been silent for the
// longest time, and waits until that connection is released. Callers that send their line at once are therefore
// admitted despite any number of silent connections. admit reports false once the server is closed.
func (s *Server) admit(conn net.Conn) (*list.Element, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.open >= MaxConns && !s.closed {
		if oldest := s.awaitingCall.Front(); oldest != nil {
			s.awaitingCall.Remove(oldest)
			oldest.Value.(net.Conn).Close() // its goroutine calls release
		}
		s.freed.Wait()
	}
	if s.closed {
		return nil, false
	}
	s.open++
	return s.awaitingCall.PushBack(conn), true
}

// release unregisters a connection.
func (s *Server) release(element *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitingCall.Remove(element) // no effect if it was removed before
	s.open--
	s.freed.Signal()
}

// serve reads one call and answers it.
func (s *Server) serve(conn net.Conn, element *list.Element) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout)) // fails only on a closed connection, as the read then does
	line, err := bufio.NewReaderSize(conn, MaxCallBytes).ReadSlice('\n')
	s.mu.Lock()
	s.awaitingCall.Remove(element)
	s.mu.Unlock()
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		write(conn, formatError(fmt.Sprintf("call too long: want at most %d bytes", MaxCallBytes)))
	case err != nil && len(line) == 0:
	case err != nil && !errors.Is(err, io.EOF):
		write(conn, formatError("incomplete call: the end of the line is missing"))
	default: // the end of the connection also ends a line
		write(conn, Answer(s.operator, string(line)))
	}
}

// write writes an answer. A caller that does not read it within writeTimeout loses it.
func write(conn net.Conn, answer string) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write then does
	_, _ = io.WriteString(conn, answer)                     // the caller has disconnected
}
