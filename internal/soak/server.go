package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"jasperpin/internal/emulator"
)

// mode is how a server answers the requests that it executes.
type mode uint8

const (
	serving       mode = iota
	hanging            // answers once the mode changes
	failing            // answers with status 500
	resetting          // resets the connection in place of an answer
	corrupting         // answers with a malformed head
	answeringLate      // answers after the deadline of the request, and twice
)

const (
	// dedupWindowSlack is by how much servers drop duplicates for longer than the configured window: the tolerance
	// that the protocol grants for each time limit, and the possible delay of the harness.
	dedupWindowSlack = 50*time.Millisecond + harnessSlack
	// slowStartFactor is the factor by which the execution of a request takes longer in slow start.
	slowStartFactor = 2
	// lateDelay is how long after the deadline a server in mode answeringLate answers.
	lateDelay = 20 * time.Millisecond
)

// server is an HTTP/1.1 server that records each attempt that it receives completely.
type server struct {
	number int
	record *Record
	dedup  *emulator.DedupMemory
	addr   string
	// link is the link between the nodes and the server. It is set before the first connection.
	link *emulator.Proxy

	mu          sync.Mutex
	listener    net.Listener
	conns       map[net.Conn]bool // open connections
	mode        mode
	modeChanged chan struct{} // closed at the next change of mode
	startedAt   time.Time     // time of the latest restart; zero before the first restart

	goroutines sync.WaitGroup // the accept loop and one for each connection; close waits for them
}

func newServer(number int, record *Record, dedup *emulator.DedupMemory) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening for a server: %w", err)
	}
	s := &server{
		number: number, record: record, dedup: dedup, addr: ln.Addr().String(),
		modeChanged: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	s.listen(ln)
	return s, nil
}

// listen accepts connections until the listener is closed.
func (s *server) listen(ln net.Listener) {
	s.mu.Lock()
	s.listener = ln
	s.mu.Unlock()
	s.goroutines.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			s.goroutines.Go(func() { s.serve(conn) })
		}
	})
}

// setMode sets the mode. Requests that mode hanging has delayed are answered now.
func (s *server) setMode(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.modeChanged)
	s.modeChanged = make(chan struct{})
}

// reset closes the listener and resets all connections, as the end of the process would.
func (s *server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// restart listens again at the same address, as a new process would. It must be called after reset.
func (s *server) restart() error {
	ln, err := emulator.Relisten(s.addr)
	if err != nil {
		return fmt.Errorf("listening again for a server: %w", err)
	}
	s.mu.Lock()
	s.startedAt = time.Now()
	s.mu.Unlock()
	s.listen(ln)
	return nil
}

// close stops the server and waits for its goroutines.
func (s *server) close() {
	s.setMode(serving)
	s.reset()
	s.goroutines.Wait()
}

// serve answers the requests of one connection, one after another.
func (s *server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(conn, r, s.arrivedAt(conn)) {
			return
		}
	}
}

// arrivedAt returns when the last bytes of a connection left its node: when they arrived at the link, which may be slow.
func (s *server) arrivedAt(conn net.Conn) time.Time {
	return s.link.LastReceived(conn.RemoteAddr())
}

// classOf returns the class of a request by its path.
func (s *server) classOf(r *http.Request) (Class, bool) {
	for _, c := range s.record.Plan.Classes {
		if len(r.URL.Path) > len(c.Name)+1 && r.URL.Path[1:len(c.Name)+1] == c.Name {
			return c, true
		}
	}
	return Class{}, false
}

// answer records an attempt, executes it unless it is a duplicate, and answers according to the mode. It reports
// whether the connection can be used further.
func (s *server) answer(conn net.Conn, r *http.Request, receivedAt time.Time) bool {
	class, ok := s.classOf(r)
	if !ok {
		return false
	}
	attempt := s.recordAttempt(r, class, receivedAt)
	s.mu.Lock()
	mode, modeChanged, startedAt := s.mode, s.modeChanged, s.startedAt
	s.mu.Unlock()
	work := class.Work
	if slowStart := s.record.Plan.SlowStart; slowStart > 0 && time.Since(startedAt) < slowStart {
		work *= slowStartFactor
	}
	time.Sleep(work)
	form := s.record.Plan.formOf(attempt.ID)
	body := crowdAnswer
	if strings.HasSuffix(r.URL.Path, "/"+longObject) {
		form = emulator.AnswerForm{Size: crowdAnswerSize}
	} else {
		body = form.FillBody(answerText(attempt.ID, s.number))
	}
	answer := ""
	switch mode {
	case hanging:
		<-modeChanged
	case failing:
		answer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case resetting:
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case corrupting:
		answer = "HTTP/1.1 2x0 what\r\nContent-Length: -1\r\n\r\n"
	case answeringLate:
		time.Sleep(attempt.Remaining + lateDelay)
		answer = strings.Repeat(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), 2)
	}
	if answer == "" {
		s.record.headWritten(attempt, time.Now())
		return form.Write(conn, body, false)
	}
	_, err := io.WriteString(conn, answer)
	return err == nil && mode != corrupting
}

// recordAttempt records an attempt, and decides whether it is executed.
func (s *server) recordAttempt(r *http.Request, class Class, receivedAt time.Time) Attempt {
	milliseconds, _ := strconv.Atoi(r.Header.Get("Req-Deadline-Ms"))
	attempt := Attempt{
		ID: r.Header.Get("Req-Id"), Key: r.Header.Get("Idempotency-Key"), Server: s.number,
		ReceivedAt: receivedAt, Remaining: time.Duration(milliseconds) * time.Millisecond,
	}
	attempt.Executed = attempt.Key == "" || !s.dedup.IsDuplicate(attempt.Key, receivedAt, class.DedupWindow+dedupWindowSlack)
	s.record.addAttempt(attempt)
	return attempt
}
