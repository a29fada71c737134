package httpserver

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/acceptor"
	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
	"jasperpin/internal/service"
)

const (
	// readHeaderTimeout limits how long a request's head may take to arrive, counted from the connect for the
	// first request. A connection that sends nothing must be closed within 3 s; half a second is left for the
	// close.
	readHeaderTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a connection stays open without a further request. It releases the descriptor of
	// a client that does not use the connection any more.
	idleTimeout = time.Minute
	// shutdownPollInterval is how often Shutdown looks for connections that it can close. It is short compared
	// with the duration of a shutdown.
	shutdownPollInterval = 20 * time.Millisecond
	// maxHeaderBytes limits the size of a request's head, so that no client can make the node buffer more.
	maxHeaderBytes = 16 << 10
)

// Server is the HTTP server for clients. Create it with New. Its methods may be called from any goroutine
// unless their doc comment states otherwise.
type Server struct {
	services      *service.Set
	httpServer    *http.Server
	conns         *connTracker
	memory        requestMemory
	streams       answerStreams
	admission     *metrics.Admission
	log           *slog.Logger
	nextRequestID atomic.Uint64 // for plain requests, whose clients send no ID
	draining      atomic.Bool
	// releaseDescriptor closes a descriptor that is not a client's and reports whether it did; nil if there is
	// no such function. It is set before the first Serve and constant afterwards.
	releaseDescriptor func() bool
	// reserveDescriptor is releaseDescriptor for a descriptor that is kept for the case that no other can be closed.
	reserveDescriptor func() bool

	mu        sync.Mutex
	listeners []*listener // passed to Serve
}

// New returns a server whose limits on connections and buffered bodies are derived from the size of the
// machine, or of the part of it that belongs to this process.
func New(set *service.Set, m limit.Machine, log *slog.Logger) *Server {
	server := &Server{
		services: set,
		log:      log,
		conns:    newConnTracker(m.ClientConnections()),
		memory:   requestMemory{budget: limit.NewRequestMemory(m)},
	}
	admission := &metrics.Admission{}
	if set != nil {
		admission = &set.Metrics.Admission
		server.memory.ending = set.Ending()
	}
	server.admission, server.conns.admission = admission, admission
	server.conns.memory = &server.memory
	server.memory.crowded = server.conns.isFull
	server.streams = answerStreams{memory: &server.memory, admission: admission, conns: make(map[*clientConn]bool)}
	server.nextRequestID.Store(rand.Uint64()) // random, so that two processes of a node do not assign the same ID
	server.httpServer = &http.Server{
		Handler:           server,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       contextWithConn,
		// Every request must pass ServeHTTP, which takes its head from the connection's connState.
		DisableGeneralOptionsHandler: true,
		ConnState:                    onConnState,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return server
}

// Serve accepts connections from a listener until Shutdown, and then returns an error that wraps
// http.ErrServerClosed or net.ErrClosed. Connections must have a file descriptor, as those of TCP and Unix
// listeners do. Several listeners may be served concurrently, under one limit on connections.
func (s *Server) Serve(ln net.Listener) error {
	accepting := acceptor.New(ln, "clients", s.log)
	accepting.FreeDescriptor = s.freeDescriptor
	limited := &listener{accepting, s.conns}
	s.mu.Lock()
	s.listeners = append(s.listeners, limited)
	s.mu.Unlock()
	return s.httpServer.Serve(limited)
}

// SetDescriptorReleaser sets the function that is called to close a descriptor that is not a client's when
// accept(2) finds none free, before a client's connection is closed instead. It must be called before the first
// Serve.
func (s *Server) SetDescriptorReleaser(release func() bool) { s.releaseDescriptor = release }

// SetDescriptorReserve sets the function that is called to close a descriptor in reserve when neither a client's nor
// another one can be closed. It must be called before the first Serve.
func (s *Server) SetDescriptorReserve(release func() bool) { s.reserveDescriptor = release }

// freeDescriptor frees one descriptor for a new connection and reports whether it succeeded.
func (s *Server) freeDescriptor() bool {
	return s.releaseDescriptor != nil && s.releaseDescriptor() || s.conns.evictForDescriptor() ||
		s.reserveDescriptor != nil && s.reserveDescriptor()
}

// SetMachine changes the size of the machine, and with it the limits. Open connections stay open until their
// slot is needed.
func (s *Server) SetMachine(m limit.Machine) {
	s.conns.setLimit(m.ClientConnections())
	s.memory.resize(m)
}

// Drain makes /up answer 503 and closes every connection after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// AcceptedConnections returns the number of connections accepted so far.
func (s *Server) AcceptedConnections() int64 { return s.conns.accepted.Load() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int { return s.conns.count() }

// Shutdown stops accepting and waits until the requests of open connections have been answered and the
// connections closed, or until ctx is done; remaining connections are then closed, even during a request.
// Requests that are incomplete at requestsBy are answered 503. Shutdown does not wait for silent connections:
// many of them would delay the restart by readHeaderTimeout.
func (s *Server) Shutdown(ctx context.Context, requestsBy time.Time) error {
	for _, ln := range s.servedListeners() {
		ln.drainAcceptQueue(requestsBy)
		_ = ln.Close() // fails only if it is already closed
	}
	// http.Server.Shutdown is not used, since it drops each request whose head becomes complete after the
	// shutdown began; nor is SetKeepAlivesEnabled, which closes connections on which part of a request has been
	// read.
	s.conns.closeIdle()
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	deadline := time.NewTimer(time.Until(requestsBy))
	defer deadline.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.close()
		case <-deadline.C:
			s.conns.stopReadingAll()
		case <-poll.C:
			s.conns.stopReadingStalled()
			s.conns.closeIdle()
			if s.OpenConnections() == 0 {
				return s.close()
			}
		}
	}
}

// close closes all connections, including those with a request.
func (s *Server) close() error {
	s.conns.disableLinger()
	if err := s.httpServer.Close(); !errors.Is(err, net.ErrClosed) { // the listeners are already closed
		return err
	}
	return nil
}

func (s *Server) servedListeners() []*listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listeners
}
