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
	"jasperpin/internal/service"
)

const (
	// readHeaderTimeout bounds how long a request's head may take to arrive, counted from the
	// connect for the first request. A connection that sends nothing must be closed within 3 s;
	// half a second is left for the close.
	readHeaderTimeout = 2500 * time.Millisecond
	// idleTimeout closes a connection on which no further request has come: it frees the
	// descriptor of a client that forgot the connection.
	idleTimeout = time.Minute
	// shutdownPollInterval is how often Shutdown looks for connections that it can close. It is short
	// compared with the time that a shutdown may take.
	shutdownPollInterval = 20 * time.Millisecond
	// maxHeaderBytes bounds a request's head, so that no client can make the node buffer more.
	maxHeaderBytes = 32 << 10
)

// Server is the HTTP server for clients. New makes one; its methods may be called from any goroutine
// unless their comment says otherwise.
type Server struct {
	services      *service.Set
	httpServer    *http.Server
	conns         *connTracker
	bodies        bodyMemory
	log           *slog.Logger
	nextRequestID atomic.Uint64 // IDs of plain requests, which bring none
	draining      atomic.Bool
	// releaseDescriptor closes a descriptor that is not a client's and reports whether it did; nil for
	// never. Set before the first Serve, constant afterwards.
	releaseDescriptor func() bool

	mu        sync.Mutex
	listeners []*listener // those being served
}

// New makes a server whose connections and buffered bodies fit the machine, or the part of one that is
// this process's.
func New(set *service.Set, m limit.Machine, log *slog.Logger) *Server {
	s := &Server{
		services: set,
		log:      log,
		conns:    newConnTracker(m.ClientConnections()),
		bodies:   bodyMemory{budget: limit.NewBodyMemory(m)},
	}
	s.nextRequestID.Store(rand.Uint64()) // a random start, so that two processes of a node never share an ID
	s.httpServer = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       contextWithConn,
		ConnState:         onConnState,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// Serve accepts connections from a listener until Shutdown; it then returns an error that wraps
// http.ErrServerClosed or net.ErrClosed. Connections must have a descriptor, as those of TCP and Unix
// listeners have. Several listeners may be served concurrently, under one limit on connections.
func (s *Server) Serve(ln net.Listener) error {
	accepting := acceptor.New(ln, "clients", s.log)
	accepting.FreeDescriptor = s.freeDescriptor
	limited := &listener{accepting, s.conns}
	s.mu.Lock()
	s.listeners = append(s.listeners, limited)
	s.mu.Unlock()
	return s.httpServer.Serve(limited)
}

// SetDescriptorReleaser sets the function that is asked to close a descriptor that is not a client's when accept(2)
// finds none free, before a client's connection is closed for it. Call it before the first Serve.
func (s *Server) SetDescriptorReleaser(release func() bool) { s.releaseDescriptor = release }

// freeDescriptor frees one descriptor for a new connection and reports whether it could.
func (s *Server) freeDescriptor() bool {
	return s.releaseDescriptor != nil && s.releaseDescriptor() || s.conns.evictForDescriptor()
}

// SetMachine replaces the machine's size. Connections that are open stay open until their slot is needed.
func (s *Server) SetMachine(m limit.Machine) {
	s.conns.setLimit(m.ClientConnections())
	s.bodies.resize(m)
}

// Drain makes /up answer 503 and has every connection close after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// AcceptedConnections counts the connections accepted so far.
func (s *Server) AcceptedConnections() int64 { return s.conns.accepted.Load() }

// OpenConnections counts the connections that are open.
func (s *Server) OpenConnections() int { return s.conns.count() }

// Shutdown stops accepting and waits until open connections have been answered and closed, until ctx
// ends at the latest; those left are then closed within their request. Requests that are not complete at
// requestsBy get 503. Silent connections are not waited for: a crowd of them would delay the restart by
// as long as a head may take.
func (s *Server) Shutdown(ctx context.Context, requestsBy time.Time) error {
	for _, ln := range s.served() {
		ln.drainAcceptQueue(requestsBy)
		_ = ln.Close() // fails only where it is closed already
	}
	// Not http.Server.Shutdown: it drops each request whose head ends after it began. Nor
	// SetKeepAlivesEnabled: it closes connections on which part of a request has been read.
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

// close closes all connections, also those within a request.
func (s *Server) close() error {
	s.conns.disableLinger()
	if err := s.httpServer.Close(); !errors.Is(err, net.ErrClosed) { // the listeners are closed already
		return err
	}
	return nil
}

func (s *Server) served() []*listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listeners
}
