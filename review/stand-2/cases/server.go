package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in for a server. It listens at one address, also again after a crash.
type server struct {
	addr    string
	handler http.HandlerFunc

	mu   sync.Mutex
	http *http.Server
	open map[net.Conn]bool
}

// newServer starts a server.
func newServer(handler http.HandlerFunc) *server {
	s := &server{addr: freePort(), handler: handler}
	s.up()
	return s
}

// up starts the server at its address.
func (s *server) up() {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		fail("%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = make(map[net.Conn]bool)
	s.http = &http.Server{Handler: s.handler, IdleTimeout: 15 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(s.open, c)
		} else {
			s.open[c] = true
		}
	}}
	go s.http.Serve(ln)
}

// crash does what the end of the server's process does: its connections are reset, and new ones are refused.
func (s *server) crash() {
	s.mu.Lock()
	h, open := s.http, s.open
	s.open = make(map[net.Conn]bool)
	conns := make([]net.Conn, 0, len(open))
	for c := range open {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = h.Close()
}
