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

// Link is the state of the link from one member to another, in this direction only. The zero value forwards
// everything without delay or loss.
type Link struct {
	Partitioned    bool          // packets are lost, and streams wait until the partition ends
	Delay          time.Duration // delay of each packet and of each chunk of a stream
	Jitter         time.Duration // maximum additional delay, drawn for each packet: packets are reordered
	Loss           float64       // share of packets that are lost; a stream waits for a retransmission
	Duplicate      float64       // share of packets that arrive twice
	BytesPerSecond int           // bandwidth of each stream; 0 for no limit
}

// retransmitTimeout is how long a stream waits until lost data is retransmitted, as in TCP.
const retransmitTimeout = 200 * time.Millisecond

// Network is the UDP and TCP network between members. A member has two loopback addresses: it listens at and sends
// from the first. The Network listens at the second, which the member advertises, and forwards the packets and
// streams of the member from there. So the Network knows the sender and the receiver of all packets and streams.
//
// Two goroutines for each member run until Close, and two for each stream until it ends. Close ends all streams and
// waits for all goroutines. Packets that are still delayed at Close are lost.
type Network struct {
	Port            int // port of all addresses
	listenAddrs     []netip.Addr
	advertisedAddrs []netip.Addr
	memberAt        map[netip.Addr]int // index of the member by its listening address
	udpConns        []*net.UDPConn
	listeners       []*net.TCPListener
	blockLock       net.Listener // held while this Network uses its block of addresses

	goroutines sync.WaitGroup
	done       chan struct{} // closed by Close

	mu       sync.Mutex
	random   *rand.Rand
	links    map[[2]int]Link // links by sender and receiver
	streams  map[net.Conn]bool
	isClosed bool
}

// addressBlocks is the number of blocks of loopback addresses that are tried, from 127.64 on.
const (
	addressBlocks = 120
	firstBlock    = 64
)

// maxPacket is the maximum size of a packet, maxChunk the maximum size of a read from a stream, both in bytes.
const (
	maxPacket = 64 << 10
	maxChunk  = 16 << 10
)

// NewNetwork opens a network for at most 250 members. All random decisions are drawn from the seed.
func NewNetwork(members int, seed uint64) (*Network, error) {
	var err error
	for try := range addressBlocks {
		nw := &Network{
			memberAt: make(map[netip.Addr]int), links: make(map[[2]int]Link), streams: make(map[net.Conn]bool),
			random: rand.New(rand.NewPCG(seed, 7)), done: make(chan struct{}),
		}
		if err = nw.open(byte(firstBlock+(os.Getpid()+try)%addressBlocks), members); err == nil {
			return nw, nil
		}
		nw.Close()
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", err)
}

// open assigns 127.BLOCK.0.x to the members, and listens at 127.BLOCK.1.x, which they advertise. The same port must
// be free at all advertised addresses.
func (nw *Network) open(block byte, members int) error {
	if err := nw.lockBlock(block); err != nil {
		return err
	}
	for i := range members {
		listen := netip.AddrFrom4([4]byte{127, block, 0, byte(i + 1)})
		advertised := netip.AddrFrom4([4]byte{127, block, 1, byte(i + 1)})
		nw.listenAddrs, nw.advertisedAddrs = append(nw.listenAddrs, listen), append(nw.advertisedAddrs, advertised)
		nw.memberAt[listen] = i
		ln, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(advertised, uint16(nw.Port))))
		if err != nil {
			return err
		}
		nw.listeners = append(nw.listeners, ln)
		nw.Port = ln.Addr().(*net.TCPAddr).Port
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(advertised, uint16(nw.Port))))
		if err != nil {
			return err
		}
		nw.udpConns = append(nw.udpConns, conn)
	}
	for i := range members {
		nw.goroutines.Go(func() { nw.forwardPackets(i) })
		nw.goroutines.Go(func() { nw.acceptStreams(i) })
	}
	return nil
}

// lockBlock locks a block of addresses until Close, so that no other Network uses it. With the members of two networks
// at one address, a connection from there could occupy the port at which a restarted member of the other network listens.
func (nw *Network) lockBlock(block byte) (err error) {
	nw.blockLock, err = net.Listen("unix", fmt.Sprintf("@jasperpin-testbed-127.%d", block))
	return err
}

// ListenAddr returns the address at which a member listens.
func (nw *Network) ListenAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(nw.listenAddrs[i], uint16(nw.Port))
}

// AdvertisedAddr returns the address that a member advertises, at which other members reach it.
func (nw *Network) AdvertisedAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(nw.advertisedAddrs[i], uint16(nw.Port))
}

// SetLink changes the link from one member to another, also for open streams.
func (nw *Network) SetLink(from, to int, link Link) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.links[[2]int{from, to}] = link
}

// SetAllLinks changes the links between all members.
func (nw *Network) SetAllLinks(link Link) {
	for from := range nw.listenAddrs {
		for to := range nw.listenAddrs {
			nw.SetLink(from, to, link)
		}
	}
}

// Partition partitions the members in a group from all other members, in both directions, or ends the partition if
// partitioned is false.
func (nw *Network) Partition(inGroup func(i int) bool, partitioned bool) {
	for from := range nw.listenAddrs {
		for to := range nw.listenAddrs {
			if inGroup(from) != inGroup(to) {
				nw.SetLink(from, to, Link{Partitioned: partitioned})
			}
		}
	}
}

func (nw *Network) link(from, to int) Link {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.links[[2]int{from, to}]
}

// chance draws whether an event of a probability occurs.
func (nw *Network) chance(probability float64) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.random.Float64() < probability
}

// drawDelay draws the delay of a packet.
func (nw *Network) drawDelay(link Link) time.Duration {
	if link.Jitter <= 0 {
		return link.Delay
	}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return link.Delay + time.Duration(nw.random.Int64N(int64(link.Jitter)))
}

// forwardPackets forwards the packets that are sent to a member.
func (nw *Network) forwardPackets(to int) {
	buffer := make([]byte, maxPacket)
	for {
		n, at, err := nw.udpConns[to].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		from, known := nw.memberAt[at.Addr().Unmap()]
		link := nw.link(from, to)
		if !known || link.Partitioned || nw.chance(link.Loss) {
			continue
		}
		copies := 1
		if nw.chance(link.Duplicate) {
			copies = 2
		}
		packet := append([]byte(nil), buffer[:n]...)
		for range copies {
			send := func() { _, _ = nw.udpConns[from].WriteToUDPAddrPort(packet, nw.ListenAddr(to)) }
			if delay := nw.drawDelay(link); delay > 0 {
				time.AfterFunc(delay, send)
			} else {
				send()
			}
		}
	}
}

// acceptStreams forwards the streams that are opened to a member.
func (nw *Network) acceptStreams(to int) {
	for {
		conn, err := nw.listeners[to].Accept()
		if err != nil {
			return // closed
		}
		from, known := nw.memberAt[conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
		if !known || !nw.track(conn) {
			conn.Close()
			continue
		}
		nw.goroutines.Go(func() { nw.forwardStream(conn, from, to) })
	}
}

// track registers a connection that Close closes. It returns false if Close was called before.
func (nw *Network) track(conn net.Conn) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if !nw.isClosed {
		nw.streams[conn] = true
	}
	return !nw.isClosed
}

// closeStream closes a tracked connection and removes it.
func (nw *Network) closeStream(conn net.Conn) {
	conn.Close()
	nw.mu.Lock()
	defer nw.mu.Unlock()
	delete(nw.streams, conn)
}

// forwardStream forwards a stream in both directions. It connects to the receiver from the address that the sender
// advertises.
func (nw *Network) forwardStream(senderConn net.Conn, from, to int) {
	defer nw.closeStream(senderConn)
	if !nw.awaitConnected(from, to) {
		return
	}
	d := net.Dialer{Timeout: time.Second, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(nw.advertisedAddrs[from], 0))}
	receiverConn, err := d.Dial("tcp4", nw.ListenAddr(to).String())
	if err != nil {
		return
	}
	defer nw.closeStream(receiverConn)
	if !nw.track(receiverConn) {
		return
	}
	reverseDone := make(chan struct{})
	go func() {
		defer close(reverseDone)
		nw.copyStream(senderConn, receiverConn, to, from)
	}()
	nw.copyStream(receiverConn, senderConn, from, to)
	<-reverseDone
}

// awaitConnected waits until a TCP handshake would have completed, which needs packets in both directions. It
// returns false if the network is closed first.
func (nw *Network) awaitConnected(from, to int) bool {
	for nw.link(from, to).Partitioned || nw.link(to, from).Partitioned {
		if !nw.sleep(retransmitTimeout / 4) {
			return false
		}
	}
	return nw.sleep(nw.link(from, to).Delay + nw.link(to, from).Delay)
}

// sleep sleeps for d. It returns false if the network is closed first.
func (nw *Network) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-nw.done:
		return false
	}
}

// copyStream forwards one direction of a stream until the sender closes it or the receiver fails.
func (nw *Network) copyStream(dst, src net.Conn, from, to int) {
	defer func() {
		if conn, ok := dst.(*net.TCPConn); ok {
			_ = conn.CloseWrite()
		}
	}()
	buffer := make([]byte, maxChunk)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !nw.deliver(dst, buffer[:n], from, to) {
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes a chunk of a stream once the link forwards it: after the end of a partition, the retransmission of
// lost data, and the delay of the link. It returns false if the stream has ended.
func (nw *Network) deliver(dst net.Conn, chunk []byte, from, to int) bool {
	link := nw.link(from, to)
	for link.Partitioned || nw.chance(link.Loss) {
		if !nw.sleep(retransmitTimeout) {
			return false
		}
		link = nw.link(from, to)
	}
	delay := link.Delay
	if link.BytesPerSecond > 0 {
		delay += time.Duration(float64(len(chunk)) / float64(link.BytesPerSecond) * float64(time.Second))
	}
	if !nw.sleep(delay) {
		return false
	}
	_, err := dst.Write(chunk)
	return err == nil
}

// Close closes the network and waits for its goroutines. It may be called twice.
func (nw *Network) Close() {
	nw.mu.Lock()
	if !nw.isClosed {
		nw.isClosed = true
		close(nw.done)
	}
	for conn := range nw.streams {
		conn.Close()
	}
	nw.mu.Unlock()
	if nw.blockLock != nil {
		nw.blockLock.Close()
	}
	for _, ln := range nw.listeners {
		ln.Close()
	}
	for _, conn := range nw.udpConns {
		conn.Close()
	}
	nw.goroutines.Wait()
}
