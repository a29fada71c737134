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

// ScriptedServer is an HTTP/1.1 server whose Responder writes each response. One goroutine serves each connection
// until it is closed. Close closes all connections and does not wait for their goroutines.
type ScriptedServer struct {
	Addr     string
	Conns    atomic.Int64       // connections accepted
	Begun    atomic.Int64       // requests whose first byte has been read
	Received atomic.Int64       // requests read completely
	Requests chan *http.Request // every request received; dropped while requestsBuffer requests are unread

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// requestsBuffer is the capacity of ScriptedServer.Requests.
const requestsBuffer = 1000

// Responder writes the response to a request on its connection. It returns false to close the connection.
type Responder func(conn net.Conn, r *http.Request, body []byte) bool

// Respond returns a Responder that writes the same bytes for every request.
func Respond(text string) Responder {
	return func(conn net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// Echo is a Responder that answers with the request's id and body.
func Echo(conn net.Conn, r *http.Request, body []byte) bool {
	text := r.Header.Get("Req-Id") + " " + string(body)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
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

// newScriptedServer returns a server that does not accept connections yet.
func newScriptedServer(ln net.Listener) *ScriptedServer {
	return &ScriptedServer{Addr: ln.Addr().String(), Requests: make(chan *http.Request, requestsBuffer), listener: ln, conns: make(map[net.Conn]bool)}
}

// accept serves connections until the listener is closed.
func (s *ScriptedServer) accept(answer Responder) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.Conns.Add(1)
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn, answer)
	}
}

// Close closes the listener and all connections.
func (s *ScriptedServer) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
	return err
}

// serve answers the requests of one connection, one after another.
func (s *ScriptedServer) serve(conn net.Conn, answer Responder) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
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
		if !answer(conn, r, body) {
			return
		}
	}
}
