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

// maxPacket is the longest packet that is read, in bytes; the library writes 1,400 at the most.
const maxPacket = 64 << 10

// transport is the library's, bound to the member's own address for what it dials too, and with a
// cap on bytes each way: packets beyond it are lost, as packets may be, and streams wait.
type transport struct {
	*memberlist.NetTransport
	own     net.Addr // that it dials from
	in, out *rate.Limiter
	packets chan *memberlist.Packet
	streams chan net.Conn
	closing chan struct{} // nobody takes what comes any more
	done    chan struct{} // and nothing comes
	once    sync.Once
	dropped atomic.Uint64 // packets, by the cap
	sent    atomic.Uint64 // bytes
	got     atomic.Uint64
}

// listen opens an address for packets and streams.
func listen(at netip.AddrPort, bytes int, log *log.Logger) (*transport, error) {
	lib, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{at.Addr().String()}, BindPort: int(at.Port()), Logger: log})
	if err != nil {
		return nil, err
	}
	t := &transport{
		NetTransport: lib, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), closing: make(chan struct{}), done: make(chan struct{}),
		in: rate.NewLimiter(rate.Limit(bytes), max(bytes, maxPacket)), out: rate.NewLimiter(rate.Limit(bytes), max(bytes, maxPacket)),
	}
	if !at.Addr().IsUnspecified() {
		t.own = net.TCPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), 0))
	}
	go t.receive()
	return t, nil
}

// receive hands on what comes, within the cap. As long as the library listens it waits for what it
// has got to be taken, so that this goes on while it closes.
func (t *transport) receive() {
	for {
		select {
		case p := <-t.NetTransport.PacketCh():
			t.got.Add(uint64(len(p.Buf)))
			if !t.in.AllowN(time.Now(), len(p.Buf)) {
				t.dropped.Add(1)
				continue
			}
			select {
			case t.packets <- p:
			case <-t.closing:
			}
		case c := <-t.NetTransport.StreamCh():
			select {
			case t.streams <- &paced{Conn: c, t: t}:
			case <-t.closing:
				c.Close()
			}
		case <-t.done:
			return
		}
	}
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	now := time.Now()
	if !t.out.AllowN(now, len(b)) {
		t.dropped.Add(1)
		return now, nil // lost, as on the way
	}
	t.sent.Add(uint64(len(b)))
	return t.NetTransport.WriteToAddress(b, addr)
}

func (t *transport) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, wait)
}

func (t *transport) DialAddressTimeout(addr memberlist.Address, wait time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: wait, LocalAddr: t.own}
	c, err := d.Dial("tcp", addr.Addr)
	if err != nil {
		return nil, fmt.Errorf("another member: %w", err)
	}
	return &paced{Conn: c, t: t}, nil
}

func (t *transport) Shutdown() (err error) {
	t.once.Do(func() {
		close(t.closing)
		err = t.NetTransport.Shutdown()
		close(t.done)
	})
	return err
}

// paced is a stream under the cap.
type paced struct {
	net.Conn
	t *transport
}

func (c *paced) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), c.t.in.Burst())])
	c.t.got.Add(uint64(n))
	if wait := c.t.in.WaitN(context.Background(), n); wait != nil && err == nil {
		err = wait
	}
	return n, err
}

func (c *paced) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		part := b[n:min(len(b), n+c.t.out.Burst())]
		if err = c.t.out.WaitN(context.Background(), len(part)); err != nil {
			break
		}
		var k int
		k, err = c.Conn.Write(part)
		n += k
		c.t.sent.Add(uint64(k))
	}
	return n, err
}
