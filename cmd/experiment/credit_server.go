package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// creditTime is the execution time of a credit.
const creditTime = 5 * time.Millisecond

// creditServer counts how often it has executed each credit. It does not detect duplicates, and each of its
// answers is different.
type creditServer struct {
	addr       string
	httpServer *http.Server
	answers    atomic.Int64

	mu         sync.Mutex
	executions map[string]int // number of executions by the request's body
}

func newCreditServer() (*creditServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for the credit server: %w", err)
	}
	s := &creditServer{addr: ln.Addr().String(), executions: make(map[string]int)}
	s.httpServer = &http.Server{Handler: s}
	go func() { _ = s.httpServer.Serve(ln) }() // serves until close
	return s, nil
}

// ServeHTTP executes the credit that the body names. A credit with a body of one byte takes no time: such requests
// only fill the memory of a node.
func (s *creditServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	credit, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.executions[string(credit)]++
	s.mu.Unlock()
	if len(credit) > 1 {
		time.Sleep(creditTime)
	}
	fmt.Fprintf(w, "entry %d for %s", s.answers.Add(1), credit)
}

// executedTwice counts the credits that were executed more than once.
func (s *creditServer) executedTwice() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, times := range s.executions {
		if times > 1 {
			n++
		}
	}
	return n
}

func (s *creditServer) close() { _ = s.httpServer.Close() }
