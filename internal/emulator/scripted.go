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

// Raw is a server whose every connection and request passes through a script.
type Raw struct {
	Addr  string
	Conns atomic.Int64       // accepted
	Begun atomic.Int64       // requests of which a byte has come
	Got   atomic.Int64       // requests read whole
	Heads chan *http.Request // their heads; what nobody takes is dropped from the 1,000th on

	ln   net.Listener
	mu   sync.Mutex
	open map[net.Conn]bool
}

// Reply answers a request on its connection; false ends the connection.
type Reply func(c net.Conn, r *http.Request, body []byte) bool

// Respond answers every request with the same bytes.
func Respond(text string) Reply {
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

// NewRaw starts a scripted server.
func NewRaw(answer Reply) (*Raw, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	s := newRaw(ln)
	go s.accept(answer)
	return s, nil
}

func newRaw(ln net.Listener) *Raw {
	return &Raw{Addr: ln.Addr().String(), Heads: make(chan *http.Request, 1000), ln: ln, open: make(map[net.Conn]bool)}
}

func (s *Raw) accept(answer Reply) {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.Conns.Add(1)
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
		go s.serve(c, answer)
	}
}

// Close ends the server and its connections.
func (s *Raw) Close() error {
	err := s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
	return err
}

func (s *Raw) serve(c net.Conn, answer Reply) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		s.Begun.Add(1)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.Got.Add(1)
		select {
		case s.Heads <- r:
		default:
		}
		if !answer(c, r, body) {
			return
		}
	}
}
