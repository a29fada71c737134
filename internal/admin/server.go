// Package admin is the protocol by which operators and their tools ask a node for its state and
// take servers out of rotation: a server at an address of its own, and a client.
//
// A connection carries one call: a line of words, see Operator for what each does. The answer is
// "done", "done" with lines and "end", or "error" with the reason.
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
	// MaxConns is how many connections are open at a time. They come out of the descriptors that the
	// limits keep free of clients and servers.
	MaxConns = 16
	// MaxCallBytes bounds a call: its name and the name of a pool and a server.
	MaxCallBytes = 512
	// readTimeout bounds how long a caller may take to send its line. Operators' tools send it at
	// once, and wait 1 s for the whole answer.
	readTimeout = time.Second
	// writeTimeout bounds how long a caller may take to read its answer.
	writeTimeout = time.Second
)

// Server answers operators' calls. Each connection has a goroutine, and one accepts connections;
// Close ends all and waits for them.
type Server struct {
	operator Operator
	listener net.Listener
	running  sync.WaitGroup

	mu     sync.Mutex // guards what follows
	silent list.List  // of net.Conn: the connections whose call has not come, oldest first
	open   int        // connections
	freed  *sync.Cond // signaled under mu when a connection has been closed, or the server
	closed bool
}

// New serves a listener until Close.
func New(ln net.Listener, op Operator, log *slog.Logger) *Server {
	s := &Server{operator: op, listener: acceptor.New(ln, "operators", log)}
	s.freed = sync.NewCond(&s.mu)
	s.running.Go(s.accept)
	return s
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting, closes the connections whose call has not come, and waits until the others
// have their answers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for e := s.silent.Front(); e != nil; e = e.Next() {
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
			return // closed: acceptor retries all else
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

// admit counts a connection in. At the limit it closes the one that has been silent for longest and
// waits for its place: good callers send their line at once, so that any number of
// silent ones keeps none of them out. It reports false once the server is closed.
func (s *Server) admit(conn net.Conn) (*list.Element, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.open >= MaxConns && !s.closed {
		if oldest := s.silent.Front(); oldest != nil {
			s.silent.Remove(oldest)
			oldest.Value.(net.Conn).Close() // its reader releases the place
		}
		s.freed.Wait()
	}
	if s.closed {
		return nil, false
	}
	s.open++
	return s.silent.PushBack(conn), true
}

// release counts a connection out.
func (s *Server) release(element *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent.Remove(element) // nothing where it has been removed before
	s.open--
	s.freed.Signal()
}

// serve reads one call and answers it.
func (s *Server) serve(conn net.Conn, element *list.Element) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout)) // fails only on a closed connection, as the read then does
	line, err := bufio.NewReaderSize(conn, MaxCallBytes).ReadSlice('\n')
	s.mu.Lock()
	s.silent.Remove(element)
	s.mu.Unlock()
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		write(conn, failure(fmt.Sprintf("a call has at most %d bytes", MaxCallBytes)))
	case err != nil && len(line) == 0:
	case err != nil && !errors.Is(err, io.EOF):
		write(conn, failure("no whole line came"))
	default: // a line may also end with the connection
		write(conn, Answer(s.operator, string(line)))
	}
}

// write writes an answer. A caller that does not read it gets no other.
func write(conn net.Conn, answer string) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write then does
	_, _ = io.WriteString(conn, answer)                     // the caller has gone
}
