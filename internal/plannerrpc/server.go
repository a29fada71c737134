package plannerrpc

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"jasperpin/internal/acceptor"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
)

// MaxPendingHandshakes is the maximum number of connections whose Hello has not been accepted yet. The
// descriptor limit of a planner includes them.
const MaxPendingHandshakes = 64

// Server is a planner's end. It accepts forwarders' connections and passes each to the pool that its
// Hello names. Each connection has two goroutines. Close closes all connections and waits for their
// goroutines.
type Server struct {
	tls           *tls.Config
	maxForwarders int
	log           *slog.Logger
	serving       sync.WaitGroup // counts connections

	mu          sync.Mutex // guards the fields below
	listeners   []net.Listener
	pools       map[string]*PoolServer
	connections map[net.Conn]bool // value is true once the Hello has been accepted
	forwarders  int               // number of connections with an accepted Hello
	closed      bool
}

// NewServer returns a Server without pools. It keeps at most maxForwarders connections whose Hello has
// been accepted, and at most MaxPendingHandshakes others.
func NewServer(tls *tls.Config, maxForwarders int, log *slog.Logger) *Server {
	return &Server{
		tls: tls, maxForwarders: maxForwarders, log: log,
		pools: make(map[string]*PoolServer), connections: make(map[net.Conn]bool),
	}
}

// SetPool adds a pool, or replaces the pool with the same name. It closes the connections of the replaced
// pool, and forwarders connect again.
func (s *Server) SetPool(p *PoolServer) {
	s.mu.Lock()
	replaced := s.pools[p.options.Pool]
	s.pools[p.options.Pool] = p
	s.mu.Unlock()
	if replaced != nil {
		replaced.close()
	}
}

// RemovePool removes the named pool, if it exists, and closes its connections.
func (s *Server) RemovePool(name string) {
	s.mu.Lock()
	removed := s.pools[name]
	delete(s.pools, name)
	s.mu.Unlock()
	if removed != nil {
		removed.close()
	}
}

// Serve accepts connections from a listener until Close, after which it returns nil. If the listener
// fails earlier, it returns the error.
func (s *Server) Serve(ln net.Listener) error {
	ln = acceptor.New(ln, "forwarders", s.log)
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				return nil
			}
			return fmt.Errorf("listening for forwarders: %w", err)
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetKeepAliveConfig(keepAlive) // on failure only a write detects that the peer has disappeared
		}
		if !s.admit(conn) {
			conn.Close()
			continue
		}
		go s.serve(conn) // counted by admit
	}
}

// admit adds a connection, and returns false if the Server is closed or too many connections wait for
// their Hello.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.connections)-s.forwarders >= MaxPendingHandshakes {
		return false
	}
	s.connections[conn] = false
	s.serving.Add(1)
	return true
}

// release removes a connection and closes it.
func (s *Server) release(conn net.Conn) {
	s.mu.Lock()
	if s.connections[conn] {
		s.forwarders--
	}
	delete(s.connections, conn)
	s.mu.Unlock()
	conn.Close()
	s.serving.Done()
}

// Close closes all listeners, connections and pools, and waits until the connections' goroutines have
// ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, ln := range s.listeners {
		ln.Close()
	}
	for conn := range s.connections {
		conn.Close()
	}
	pools := s.pools
	s.pools = nil
	s.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
	s.serving.Wait()
}

// serve serves a connection until it is lost or closed.
func (s *Server) serve(raw net.Conn) {
	defer s.release(raw)
	conn := tls.Server(raw, s.tls)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // fails only on a closed connection, as the read below does
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	pool, name, err := s.readHello(reader, raw)
	if err != nil {
		s.reject(conn, raw, err)
		return
	}
	_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection
	if err := writeFrame(conn, lengthprefix.Begin(nil)); err != nil {
		return // the connection is lost, which the forwarder logs
	}
	received, sent, err := pool.serve(conn, reader, name)
	s.log.Info("forwarder disconnected", "forwarder", name, "pool", pool.options.Pool, "bytes_heard", received, "bytes_said", sent, "reason", err)
}

// reject sends the reason why a Hello is not accepted, unless the TLS handshake failed, and logs it.
func (s *Server) reject(conn *tls.Conn, raw net.Conn, reason error) {
	if conn.ConnectionState().HandshakeComplete {
		_ = writeFrame(conn, append(lengthprefix.Begin(nil), reason.Error()...)) // may fail if the connection is lost; the reason is logged below
	}
	s.log.Warn("forwarder rejected", "address", raw.RemoteAddr().String(), "err", reason)
}

// readHello reads a Hello, looks up the pool that it names and counts the forwarder as connected.
func (s *Server) readHello(reader *bufio.Reader, raw net.Conn) (*PoolServer, string, error) {
	payload, err := readFrame(reader, nil, planner.MaxHello)
	if err != nil {
		return nil, "", err
	}
	hello, err := planner.ParseHello(payload)
	if err != nil {
		return nil, "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.pools[hello.Pool]
	switch {
	case hello.Version != planner.Version: // ParseHello decoded only the version
		return nil, "", hello.CheckCompatible(nil)
	case pool == nil:
		return nil, "", fmt.Errorf("the planner has no pool %q", hello.Pool)
	case s.forwarders >= s.maxForwarders:
		return nil, "", fmt.Errorf("%d forwarders are connected, which are the most", s.forwarders)
	}
	if err := hello.CheckCompatible(pool.options.Classes); err != nil {
		return nil, "", err
	}
	s.connections[raw] = true
	s.forwarders++
	return pool, hello.Name, nil
}
