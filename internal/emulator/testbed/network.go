package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Link is the link from one member to another: what happens to what the one sends to the other. The zero
// value passes everything on at once.
type Link struct {
	Cut            bool          // packets are lost, streams wait until it heals
	Delay          time.Duration // of each packet and of each piece of a stream
	Jitter         time.Duration // up to this much more, drawn for each packet: packets overtake each other
	Loss           float64       // share of packets that are lost; a stream waits for the retransmission
	Duplicate      float64       // share of packets that arrive twice
	BytesPerSecond int           // bytes a second of a stream; 0 for no limit
}

// retransmitTimeout is how long a stream waits for what was lost, as with TCP.
const retransmitTimeout = 200 * time.Millisecond

// Network is the network between members, UDP and TCP. A member has two loopback addresses: it listens at
// the first and sends from there; the relay listens at the second, which the member advertises, and sends
// from there what the member has sent. So the relay knows the sender and the receiver of everything.
//
// Two goroutines for each member, and two for each stream, run until Close, which waits for them. Packets
// that are delayed at that time are lost.
type Network struct {
	Port            int // of all addresses
	listenAddrs     []netip.Addr
	advertisedAddrs []netip.Addr
	memberAt        map[netip.Addr]int // by listening address
	udpConns        []*net.UDPConn
	listeners       []*net.TCPListener

	goroutines sync.WaitGroup
	done       chan struct{} // closed by Close

	mu       sync.Mutex
	random   *rand.Rand
	links    map[[2]int]Link // by sender and receiver
	streams  map[net.Conn]bool
	isClosed bool
}

// addressBlocks is how many blocks of loopback addresses are tried, from 127.64 on.
const (
	addressBlocks = 120
	firstBlock    = 64
)

// maxPacket is the size of the largest packet, maxPiece that of what is read of a stream at once.
const (
	maxPacket = 64 << 10
	maxPiece  = 16 << 10
)

// NewNetwork opens a network for up to 250 members. All chance is drawn from the seed.
func NewNetwork(members int, seed uint64) (*Network, error) {
	var err error
	for try := range addressBlocks {
		r := &Network{
			memberAt: make(map[netip.Addr]int), links: make(map[[2]int]Link), streams: make(map[net.Conn]bool),
			random: rand.New(rand.NewPCG(seed, 7)), done: make(chan struct{}),
		}
		if err = r.open(byte(firstBlock+(os.Getpid()+try)%addressBlocks), members); err == nil {
			return r, nil
		}
		r.Close()
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", err)
}

// open takes 127.BLOCK.0.x for the members and 127.BLOCK.1.x for what they advertise. The same port has to be
// free at all of the latter.
func (r *Network) open(block byte, members int) error {
	for i := range members {
		listen := netip.AddrFrom4([4]byte{127, block, 0, byte(i + 1)})
		advertised := netip.AddrFrom4([4]byte{127, block, 1, byte(i + 1)})
		r.listenAddrs, r.advertisedAddrs = append(r.listenAddrs, listen), append(r.advertisedAddrs, advertised)
		r.memberAt[listen] = i
		ln, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(advertised, uint16(r.Port))))
		if err != nil {
			return err
		}
		r.listeners = append(r.listeners, ln)
		r.Port = ln.Addr().(*net.TCPAddr).Port
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(advertised, uint16(r.Port))))
		if err != nil {
			return err
		}
		r.udpConns = append(r.udpConns, c)
	}
	for i := range members {
		r.goroutines.Go(func() { r.forwardPackets(i) })
		r.goroutines.Go(func() { r.acceptStreams(i) })
	}
	return nil
}

// ListenAddr is where a member listens.
func (r *Network) ListenAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(r.listenAddrs[i], uint16(r.Port))
}

// AdvertisedAddr is what a member advertises: where others reach it.
func (r *Network) AdvertisedAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(r.advertisedAddrs[i], uint16(r.Port))
}

// SetLink changes the link from one member to another, also for streams that are open.
func (r *Network) SetLink(from, to int, w Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[[2]int{from, to}] = w
}

// SetAllLinks changes the links between all members.
func (r *Network) SetAllLinks(w Link) {
	for from := range r.listenAddrs {
		for to := range r.listenAddrs {
			r.SetLink(from, to, w)
		}
	}
}

// Partition cuts or heals, in both directions, the links between members on the left and all others.
func (r *Network) Partition(left func(i int) bool, cut bool) {
	for from := range r.listenAddrs {
		for to := range r.listenAddrs {
			if left(from) != left(to) {
				r.SetLink(from, to, Link{Cut: cut})
			}
		}
	}
}

func (r *Network) link(from, to int) Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[[2]int{from, to}]
}

// chance draws whether something of a probability happens.
func (r *Network) chance(probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < probability
}

// drawDelay draws how long a packet takes.
func (r *Network) drawDelay(w Link) time.Duration {
	if w.Jitter <= 0 {
		return w.Delay
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.Delay + time.Duration(r.random.Int64N(int64(w.Jitter)))
}

// forwardPackets forwards the packets that are sent to a member.
func (r *Network) forwardPackets(to int) {
	buffer := make([]byte, maxPacket)
	for {
		n, at, err := r.udpConns[to].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		from, known := r.memberAt[at.Addr().Unmap()]
		link := r.link(from, to)
		if !known || link.Cut || r.chance(link.Loss) {
			continue
		}
		copies := 1
		if r.chance(link.Duplicate) {
			copies = 2
		}
		packet := append([]byte(nil), buffer[:n]...)
		for range copies {
			send := func() { _, _ = r.udpConns[from].WriteToUDPAddrPort(packet, r.ListenAddr(to)) }
			if delay := r.drawDelay(link); delay > 0 {
				time.AfterFunc(delay, send)
			} else {
				send()
			}
		}
	}
}

// acceptStreams forwards the streams that are opened to a member.
func (r *Network) acceptStreams(to int) {
	for {
		c, err := r.listeners[to].Accept()
		if err != nil {
			return // closed
		}
		from, known := r.memberAt[c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
		if !known || !r.track(c) {
			c.Close()
			continue
		}
		r.goroutines.Go(func() { r.forwardStream(c, from, to) })
	}
}

// track has Close close a connection. It returns false if Close was called before.
func (r *Network) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isClosed {
		r.streams[c] = true
	}
	return !r.isClosed
}

// closeStream closes a connection that was tracked.
func (r *Network) closeStream(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, c)
}

// forwardStream forwards a stream in both directions, from the address that its sender advertises.
func (r *Network) forwardStream(near net.Conn, from, to int) {
	defer r.closeStream(near)
	if !r.awaitConnected(from, to) {
		return
	}
	d := net.Dialer{Timeout: time.Second, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(r.advertisedAddrs[from], 0))}
	far, err := d.Dial("tcp4", r.ListenAddr(to).String())
	if err != nil {
		return
	}
	defer r.closeStream(far)
	if !r.track(far) {
		return
	}
	answersDone := make(chan struct{})
	go func() {
		defer close(answersDone)
		r.copyStream(near, far, to, from)
	}()
	r.copyStream(far, near, from, to)
	<-answersDone
}

// awaitConnected waits until the handshake of a connection would be over: packets pass in both directions.
func (r *Network) awaitConnected(from, to int) bool {
	for r.link(from, to).Cut || r.link(to, from).Cut {
		if !r.sleep(retransmitTimeout / 4) {
			return false
		}
	}
	return r.sleep(r.link(from, to).Delay + r.link(to, from).Delay)
}

// sleep pauses, and returns false if the network is closed first.
func (r *Network) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.done:
		return false
	}
}

// copyStream forwards one direction of a stream until either side ends it.
func (r *Network) copyStream(dst, src net.Conn, from, to int) {
	defer func() {
		if c, ok := dst.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
	}()
	buffer := make([]byte, maxPiece)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !r.deliver(dst, buffer[:n], from, to) {
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes a piece of a stream once the link lets it pass. It returns false if the stream has ended.
func (r *Network) deliver(dst net.Conn, piece []byte, from, to int) bool {
	link := r.link(from, to)
	for link.Cut || r.chance(link.Loss) {
		if !r.sleep(retransmitTimeout) {
			return false
		}
		link = r.link(from, to)
	}
	delay := link.Delay
	if link.BytesPerSecond > 0 {
		delay += time.Duration(float64(len(piece)) / float64(link.BytesPerSecond) * float64(time.Second))
	}
	if !r.sleep(delay) {
		return false
	}
	_, err := dst.Write(piece)
	return err == nil
}

// Close closes the network and waits for its goroutines. It may be called twice.
func (r *Network) Close() {
	r.mu.Lock()
	if !r.isClosed {
		r.isClosed = true
		close(r.done)
	}
	for c := range r.streams {
		c.Close()
	}
	r.mu.Unlock()
	for _, ln := range r.listeners {
		ln.Close()
	}
	for _, c := range r.udpConns {
		c.Close()
	}
	r.goroutines.Wait()
}
