package consensus

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"jasperpin/internal/acceptor"

	"github.com/hashicorp/raft"
)

// VoterName is the DNS name that a voter's certificate must hold: it is what may speak
// raft, and what callers take for a voter.
const VoterName = "jasperpin-voter"

// What an end wants, as TLS's application protocol.
const (
	speaksRaft = "jasperpin-raft"
	speaksHTTP = "http/1.1"
)

const (
	// shakeWithin bounds a handshake, and maxShaking how many are under way.
	shakeWithin = 2 * time.Second
	maxShaking  = 64
	// maxConns bounds the connections of one kind.
	maxConns = 512
)

// link is a voter's address: it takes connections and gives each to raft or to the calls,
// as its other end wants.
type link struct {
	ln    net.Listener
	tls   *tls.Config
	log   *slog.Logger
	raft  *queue
	calls *queue
}

func newLink(addr string, t *tls.Config, log *slog.Logger) (*link, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening for the group: %w", err)
	}
	t = t.Clone()
	t.NextProtos = []string{speaksRaft, speaksHTTP}
	l := &link{ln: acceptor.New(ln, "the group", log), tls: t, log: log, raft: newQueue(ln.Addr()), calls: newQueue(ln.Addr())}
	go l.serve()
	return l, nil
}

func (l *link) close() {
	l.ln.Close()
	l.raft.Close()
	l.calls.Close()
}

func (l *link) serve() {
	shaking := make(chan struct{}, maxShaking)
	for {
		c, err := l.ln.Accept()
		if err != nil { // it is closed
			return
		}
		shaking <- struct{}{}
		go func() {
			defer func() { <-shaking }()
			l.admit(c)
		}()
	}
}

// admit hands a connection on once its other end has shown who it is.
func (l *link) admit(raw net.Conn) {
	c := tls.Server(raw, l.tls)
	ctx, cancel := context.WithTimeout(context.Background(), shakeWithin)
	defer cancel()
	if err := c.HandshakeContext(ctx); err != nil {
		l.log.Debug("a stranger at the group's address", "from", raw.RemoteAddr().String(), "err", err)
		raw.Close()
		return
	}
	state := c.ConnectionState()
	to := l.calls
	if state.NegotiatedProtocol == speaksRaft {
		if err := state.PeerCertificates[0].VerifyHostname(VoterName); err != nil {
			l.log.Warn("no voter speaks raft", "from", raw.RemoteAddr().String(), "err", err)
			c.Close()
			return
		}
		to = l.raft
	}
	to.put(c)
}

// dialer connects to a voter for one of the protocols.
type dialer func(ctx context.Context, t *tls.Config, addr, speaks string) (net.Conn, error)

// dial is the dialer of all but tests, which play a network that splits.
func dial(ctx context.Context, t *tls.Config, addr, speaks string) (net.Conn, error) {
	t = t.Clone()
	t.NextProtos = []string{speaks}
	return (&tls.Dialer{NetDialer: &net.Dialer{Timeout: shakeWithin}, Config: t}).DialContext(ctx, "tcp", addr)
}

// stream is raft's side of the link.
type stream struct {
	*queue
	tls  *tls.Config
	dial dialer
}

func (s stream) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.dial(ctx, s.tls, string(addr), speaksRaft)
}

// queue is a listener whose connections come from elsewhere, no more than maxConns.
type queue struct {
	addr   net.Addr
	conns  chan net.Conn
	room   chan struct{}
	once   sync.Once
	closed chan struct{}
}

func newQueue(addr net.Addr) *queue {
	return &queue{addr: addr, conns: make(chan net.Conn), room: make(chan struct{}, maxConns), closed: make(chan struct{})}
}

func (q *queue) put(c net.Conn) {
	select {
	case q.room <- struct{}{}:
	default:
		c.Close()
		return
	}
	c = &counted{Conn: c, room: q.room}
	select {
	case q.conns <- c:
	case <-q.closed:
		c.Close()
	}
}

// Accept gives the next connection.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. Connections that it gave stay open.
func (q *queue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr is the link's address.
func (q *queue) Addr() net.Addr { return q.addr }

// counted gives its place back once it is closed.
type counted struct {
	net.Conn
	room chan struct{}
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}
