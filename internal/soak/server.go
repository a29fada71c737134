package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jasperpin/internal/emulator"
)

// mode is how a server behaves.
type mode uint8

const (
	serving mode = iota
	hanging
	erring
	resetting
	spoiling
	late
)

// keyMemory is what all servers of a run remember of keys.
type keyMemory struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// first says whether a key is not remembered, and remembers it.
func (m *keyMemory) first(key string, now time.Time, window time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.until[key]) {
		return false
	}
	m.until[key] = now.Add(window)
	return true
}

// windowSlack is how much longer than the settings say servers drop repeats, as the protocol has it for
// each time limit, and what this machine may be behind.
const windowSlack = 50*time.Millisecond + harness

// server is a server that writes down each attempt that comes whole.
type server struct {
	number int
	record *Record
	memory *keyMemory
	addr   string

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	mode  mode
	turn  chan struct{} // closed at the next change of mode
	born  time.Time
	ended sync.WaitGroup
}

func newServer(number int, record *Record, memory *keyMemory) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a server's port: %w", err)
	}
	s := &server{number: number, record: record, memory: memory, addr: ln.Addr().String(), turn: make(chan struct{}), conns: make(map[net.Conn]bool)}
	s.listen(ln)
	return s, nil
}

func (s *server) listen(ln net.Listener) {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.ended.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			s.ended.Go(func() { s.serve(c) })
		}
	})
}

// set changes how the server behaves. What hangs is answered then.
func (s *server) set(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.turn)
	s.turn = make(chan struct{})
}

// die resets all connections and takes no more.
func (s *server) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// begin has it serve anew, as another process at its address.
func (s *server) begin() error {
	ln, err := emulator.ListenAgain(s.addr)
	if err != nil {
		return fmt.Errorf("a server's port, again: %w", err)
	}
	s.mu.Lock()
	s.born = time.Now()
	s.mu.Unlock()
	s.listen(ln)
	return nil
}

// close ends it.
func (s *server) close() {
	s.set(serving)
	s.die()
	s.ended.Wait()
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(c, r, time.Now()) {
			return
		}
	}
}

// classOf finds a request's class by its path.
func (s *server) classOf(r *http.Request) (Class, bool) {
	for _, c := range s.record.Plan.Classes {
		if len(r.URL.Path) > len(c.Name)+1 && r.URL.Path[1:len(c.Name)+1] == c.Name {
			return c, true
		}
	}
	return Class{}, false
}

// answer does a request's work, if it is to run, and answers as the mode says. It says whether the
// connection goes on.
func (s *server) answer(c net.Conn, r *http.Request, came time.Time) bool {
	class, ok := s.classOf(r)
	if !ok {
		return false
	}
	ms, _ := strconv.Atoi(r.Header.Get("Req-Deadline-Ms"))
	a := Attempt{ID: r.Header.Get("Req-Id"), Key: r.Header.Get("Idempotency-Key"), Server: s.number, Came: came, Told: time.Duration(ms) * time.Millisecond}
	a.Ran = a.Key == "" || s.memory.first(a.Key, came, class.Window+windowSlack)
	s.record.attempt(a)
	s.mu.Lock()
	mode, turn, born := s.mode, s.turn, s.born
	s.mu.Unlock()
	work := class.Work
	if cold := s.record.Plan.Cold; cold > 0 && time.Since(born) < cold {
		work *= 2
	}
	time.Sleep(work)
	text := a.ID + " by " + strconv.Itoa(s.number)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	switch mode {
	case hanging:
		<-turn
	case erring:
		whole = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case resetting:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case spoiling:
		whole = "HTTP/1.1 2x0 what\r\nContent-Length: -1\r\n\r\n"
	case late:
		time.Sleep(a.Told + 20*time.Millisecond)
		whole += whole // and a second one behind it
	}
	_, err := io.WriteString(c, whole)
	return err == nil && mode != spoiling
}
