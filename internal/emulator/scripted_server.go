package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// ScriptedServer is an HTTP/1.1 server that answers by a script. Each connection has a goroutine, which ends with it;
// Close ends all connections and does not wait for them.
type ScriptedServer struct {
	Addr     string
	Conns    atomic.Int64       // accepted
	Begun    atomic.Int64       // requests of which a byte has been read
	Received atomic.Int64       // requests read completely
	Requests chan *http.Request // of all requests; beyond headsBuffer unread ones are dropped

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// headsBuffer is how many requests Raw.Heads holds.
const headsBuffer = 1000

// Responder answers a request on its connection. It returns false to close the connection.
type Responder func(c net.Conn, r *http.Request, body []byte) bool

// Respond answers every request with the same bytes.
func Respond(text string) Responder {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// Echo answers with the request's id and body.
func Echo(c net.Conn, r *http.Request, body []byte) bool {
	text := r.Header.Get("Req-Id") + " " + string(body)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// NewScriptedServer starts a scripted server.
func NewScriptedServer(answer Responder) (*ScriptedServer, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	s := newScriptedServer(ln)
	go s.accept(answer)
	return s, nil
}

// newScriptedServer makes a server that does not accept connections yet.
func newScriptedServer(ln net.Listener) *ScriptedServer {
	return &ScriptedServer{Addr: ln.Addr().String(), Requests: make(chan *http.Request, headsBuffer), listener: ln, conns: make(map[net.Conn]bool)}
}

// accept serves connections until the listener is closed.
func (s *ScriptedServer) accept(answer Responder) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.Conns.Add(1)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c, answer)
	}
}

// Close closes the listener and all connections.
func (s *ScriptedServer) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
	return err
}

// serve answers the requests of one connection, one after another.
func (s *ScriptedServer) serve(c net.Conn, answer Responder) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		s.Begun.Add(1)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.Received.Add(1)
		select {
		case s.Requests <- r:
		default:
		}
		if !answer(c, r, body) {
			return
		}
	}
}
