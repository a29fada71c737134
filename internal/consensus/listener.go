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

// VoterName is the DNS name that a voter's certificate must contain. Raft accepts messages only from peers with such a
// certificate, and clients accept no other server.
const VoterName = "jasperpin-voter"

// TLS application protocols, which distinguish raft connections from those of clients.
const (
	protocolRaft = "jasperpin-raft"
	protocolHTTP = "http/1.1"
)

const (
	// handshakeTimeout bounds the duration of a handshake, and maxHandshakes the number in progress. Together they
	// bound the descriptors used by connections that never finish their handshake.
	handshakeTimeout = 2 * time.Second
	maxHandshakes    = 64
)

// listener accepts the connections to a voter's address, authenticates them, and passes them to raft or to the HTTP
// server by their application protocol.
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
		return nil, fmt.Errorf("listening on %s for the cluster: %w", addr, err)
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
	go l.accept() // returns after close
	return l, nil
}

func (l *listener) addr() string { return l.ln.Addr().String() }

// close stops accept. Handshakes in progress end within handshakeTimeout.
func (l *listener) close() {
	l.ln.Close()
	_ = l.raftConns.Close()   // never returns an error
	_ = l.clientConns.Close() // never returns an error
}

// accept accepts connections until the listener is closed, and starts a goroutine for each handshake.
func (l *listener) accept() {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := l.ln.Accept()
		if err != nil { // the acceptor returns an error only after it is closed
			return
		}
		handshakes <- struct{}{}
		go func() {
			defer func() { <-handshakes }()
			l.authenticate(conn)
		}()
	}
}

// authenticate performs the TLS handshake of a connection and passes it to its queue. The peer's certificate must be
// signed by the authority. For raft it must also be a voter's certificate.
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
		_ = conn.Close() // no data was written
		return
	}
	l.raftConns.put(conn)
}

// dialFunc connects to a voter with one of the application protocols.
type dialFunc func(ctx context.Context, credentials *tls.Config, addr, protocol string) (net.Conn, error)

// dial is the dialFunc outside tests, which use their own to simulate partitions.
func dial(ctx context.Context, credentials *tls.Config, addr, protocol string) (net.Conn, error) {
	config := credentials.Clone()
	config.NextProtos = []string{protocol}
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: handshakeTimeout}, Config: config}
	return dialer.DialContext(ctx, "tcp", addr)
}

// streamLayer implements raft.StreamLayer with the raft connections of a listener.
type streamLayer struct {
	*connQueue
	credentials *tls.Config
	dial        dialFunc
}

// newStreamLayer returns a streamLayer that accepts the connections of a queue. A nil connect stands for dial.
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
