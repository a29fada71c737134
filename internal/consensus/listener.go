package consensus

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/hashicorp/raft"

	"jasperpin/internal/acceptor"
)

// VoterName is the DNS name that a voter's certificate must hold: raft accepts messages from such
// certificates alone, and clients accept no other server.
const VoterName = "jasperpin-voter"

// TLS application protocols, by which a connection says what it is for.
const (
	protocolRaft = "jasperpin-raft"
	protocolHTTP = "http/1.1"
)

const (
	// handshakeTimeout bounds a handshake, and maxHandshakes how many are under way: connections that
	// never finish one use up no more descriptors than that.
	handshakeTimeout = 2 * time.Second
	maxHandshakes    = 64
)

// listener accepts the connections of a voter's address, authenticates them, and passes them on to
// raft or to the HTTP server by their application protocol.
type listener struct {
	ln          net.Listener
	tls         *tls.Config
	log         *slog.Logger
	raftConns   *connQueue
	clientConns *connQueue
}

func newListener(addr string, credentials *tls.Config, log *slog.Logger) (*listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening at %s for the cluster: %w", addr, err)
	}
	config := credentials.Clone()
	config.NextProtos = []string{protocolRaft, protocolHTTP}
	l := &listener{
		ln:          acceptor.New(ln, "the cluster", log),
		tls:         config,
		log:         log,
		raftConns:   newConnQueue(ln.Addr()),
		clientConns: newConnQueue(ln.Addr()),
	}
	go l.accept() // it ends with close
	return l, nil
}

func (l *listener) addr() string { return l.ln.Addr().String() }

// close ends accept. Handshakes under way end by themselves within handshakeTimeout.
func (l *listener) close() {
	l.ln.Close()
	_ = l.raftConns.Close()   // it returns no error
	_ = l.clientConns.Close() // it returns no error
}

// accept takes connections until the listener is closed, with a goroutine for each handshake.
func (l *listener) accept() {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := l.ln.Accept()
		if err != nil { // acceptor returns one only once it is closed
			return
		}
		handshakes <- struct{}{}
		go func() {
			defer func() { <-handshakes }()
			l.authenticate(conn)
		}()
	}
}

// authenticate performs a connection's handshake and passes it on. A client's certificate must be the
// authority's; for raft it must be a voter's as well.
func (l *listener) authenticate(raw net.Conn) {
	conn := tls.Server(raw, l.tls)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		l.log.Debug("handshake failed", "address", raw.RemoteAddr().String(), "err", err)
		raw.Close()
		return
	}
	state := conn.ConnectionState()
	if state.NegotiatedProtocol != protocolRaft {
		l.clientConns.put(conn)
		return
	}
	if err := state.PeerCertificates[0].VerifyHostname(VoterName); err != nil {
		l.log.Warn("raft connection rejected: not a voter's certificate", "address", raw.RemoteAddr().String(), "err", err)
		_ = conn.Close() // nothing was written to it
		return
	}
	l.raftConns.put(conn)
}

// dialFunc connects to a voter for one of the application protocols.
type dialFunc func(ctx context.Context, credentials *tls.Config, addr, protocol string) (net.Conn, error)

// dial is the dialFunc of all but tests, which simulate partitions.
func dial(ctx context.Context, credentials *tls.Config, addr, protocol string) (net.Conn, error) {
	config := credentials.Clone()
	config.NextProtos = []string{protocol}
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: handshakeTimeout}, Config: config}
	return dialer.DialContext(ctx, "tcp", addr)
}

// streamLayer implements raft.StreamLayer over the voters' addresses.
type streamLayer struct {
	*connQueue
	credentials *tls.Config
	dial        dialFunc
}

// newStreamLayer accepts the connections of a queue. A nil dialFunc is dial.
func newStreamLayer(conns *connQueue, credentials *tls.Config, connect dialFunc) streamLayer {
	if connect == nil {
		connect = dial
	}
	return streamLayer{connQueue: conns, credentials: credentials, dial: connect}
}

// Dial implements raft.StreamLayer.
func (s streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.dial(ctx, s.credentials, string(addr), protocolRaft)
}
