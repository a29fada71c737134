package gossip

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// maxPacketBytes is the maximum size of a packet that can be read. Memberlist writes packets of at most 1,400 bytes.
const maxPacketBytes = 64 << 10

// transport is memberlist's network transport with two additions. It dials from the member's own address. It also limits
// the bytes per second in each direction: packets beyond the limit are dropped, as a network might drop them, and
// streams wait.
type transport struct {
	*memberlist.NetTransport
	localAddr net.Addr // the local address of dialed streams; nil for any
	inbound   *rate.Limiter
	outbound  *rate.Limiter
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	closing   chan struct{} // closed when memberlist no longer receives packets and streams
	done      chan struct{} // closed when the inner transport has shut down
	once      sync.Once     // limits Shutdown to one execution

	dropped  atomic.Uint64 // packets dropped beyond the limit
	sent     atomic.Uint64 // bytes sent
	received atomic.Uint64 // bytes received
}

// listen listens on an address for packets and streams, with a limit on the bytes per second in each direction.
func listen(addr netip.AddrPort, bytesPerSecond int, logger *log.Logger) (*transport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{addr.Addr().String()},
		BindPort:  int(addr.Port()),
		Logger:    logger,
	})
	if err != nil {
		return nil, err
	}
	burst := max(bytesPerSecond, maxPacketBytes)
	t := &transport{
		NetTransport: inner,
		inbound:      rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		outbound:     rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		packets:      make(chan *memberlist.Packet),
		streams:      make(chan net.Conn),
		closing:      make(chan struct{}),
		done:         make(chan struct{}),
	}
	if !addr.Addr().IsUnspecified() {
		t.localAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(addr.Addr(), 0))
	}
	go t.receive() // returns after Shutdown
	return t, nil
}

// receive passes packets and streams from the inner transport to memberlist. It runs until the inner transport has shut
// down, since the shutdown waits until all packets and streams are received from its channels.
func (t *transport) receive() {
	for {
		select {
		case p := <-t.NetTransport.PacketCh():
			t.received.Add(uint64(len(p.Buf)))
			if !t.inbound.AllowN(time.Now(), len(p.Buf)) {
				t.dropped.Add(1)
				continue
			}
			select {
			case t.packets <- p:
			case <-t.closing:
			}
		case conn := <-t.NetTransport.StreamCh():
			select {
			case t.streams <- &limitedConn{Conn: conn, transport: t}:
			case <-t.closing:
				conn.Close()
			}
		case <-t.done:
			return
		}
	}
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport. A packet beyond the limit is dropped without an error, as a
// network would drop it.
func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	now := time.Now()
	if !t.outbound.AllowN(now, len(b)) {
		t.dropped.Add(1)
		return now, nil
	}
	t.sent.Add(uint64(len(b)))
	return t.NetTransport.WriteToAddress(b, addr)
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: t.localAddr}
	conn, err := dialer.Dial("tcp", addr.Addr)
	if err != nil {
		return nil, fmt.Errorf("connecting to a member: %w", err)
	}
	return &limitedConn{Conn: conn, transport: t}, nil
}

// Shutdown implements memberlist.Transport. It may be called more than once.
func (t *transport) Shutdown() (err error) {
	t.once.Do(func() {
		close(t.closing)
		err = t.NetTransport.Shutdown()
		close(t.done)
	})
	return err
}

// limitedConn is a stream whose reads and writes wait for the transport's limits.
type limitedConn struct {
	net.Conn
	transport *transport
}

// Read implements net.Conn. It waits after the read, so that TCP's flow control slows the sender down.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), c.transport.inbound.Burst())])
	c.transport.received.Add(uint64(n))
	if waitErr := c.transport.inbound.WaitN(context.Background(), n); waitErr != nil && err == nil {
		err = waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (written int, err error) {
	for written < len(b) {
		chunk := b[written:min(len(b), written+c.transport.outbound.Burst())]
		if err := c.transport.outbound.WaitN(context.Background(), len(chunk)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		c.transport.sent.Add(uint64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
