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

// Way is what happens to what one member sends to another. The zero value passes all on.
type Way struct {
	Cut     bool
	Delay   time.Duration
	Jitter  time.Duration // up to so much more, drawn for each packet: they pass each other
	Loss    float64       // the share of packets that are lost; a stream waits for its repeat
	Double  float64       // the share of packets that come twice
	Trickle int           // bytes a second of a stream; 0 for no limit
}

// repeat is how long a stream waits for what was lost, as TCP does.
const repeat = 200 * time.Millisecond

// Relay is the network between members. Each has an address of its own, at which it listens and
// from which it dials, and one at which others reach it, where the relay stands and from which it
// passes on what the member sends: so it knows of every packet and stream whose it is and whom
// it is for.
type Relay struct {
	Port   int
	own    []netip.Addr
	others map[netip.Addr]int // members by their own address
	shown  []netip.Addr
	udp    []*net.UDPConn
	tcp    []*net.TCPListener

	mu      sync.Mutex
	rng     *rand.Rand
	ways    map[[2]int]Way
	streams map[net.Conn]bool
	closed  bool
	running sync.WaitGroup
	done    chan struct{}
}

// blocks is how many blocks of loopback addresses are tried for a free one.
const blocks = 120

// NewRelay makes a network for so many members, 250 at the most. What is drawn is drawn by seed.
func NewRelay(members int, seed uint64) (*Relay, error) {
	var err error
	for try := range blocks {
		r := &Relay{
			others: make(map[netip.Addr]int), ways: make(map[[2]int]Way), streams: make(map[net.Conn]bool),
			rng: rand.New(rand.NewPCG(seed, 7)), done: make(chan struct{}),
		}
		if err = r.open(byte(64+(os.Getpid()+try)%blocks), members); err == nil {
			return r, nil
		}
		r.Close()
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", err)
}

// open takes 127.BLOCK.0.x for the members themselves and 127.BLOCK.1.x for where they are reached.
func (r *Relay) open(block byte, members int) error {
	for i := range members {
		own, shown := netip.AddrFrom4([4]byte{127, block, 0, byte(i + 1)}), netip.AddrFrom4([4]byte{127, block, 1, byte(i + 1)})
		r.own, r.shown = append(r.own, own), append(r.shown, shown)
		r.others[own] = i
		ln, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(shown, uint16(r.Port))))
		if err != nil {
			return err
		}
		r.tcp = append(r.tcp, ln)
		r.Port = ln.Addr().(*net.TCPAddr).Port
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(shown, uint16(r.Port))))
		if err != nil {
			return err
		}
		r.udp = append(r.udp, c)
	}
	for i := range members {
		r.running.Go(func() { r.packets(i) })
		r.running.Go(func() { r.accept(i) })
	}
	return nil
}

// Own is where a member listens, Shown where others reach it.
func (r *Relay) Own(i int) netip.AddrPort { return netip.AddrPortFrom(r.own[i], uint16(r.Port)) }

// Shown is where others reach a member.
func (r *Relay) Shown(i int) netip.AddrPort { return netip.AddrPortFrom(r.shown[i], uint16(r.Port)) }

// Set puts a way in force from one member to another, for what is open too.
func (r *Relay) Set(from, to int, w Way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ways[[2]int{from, to}] = w
}

// All puts a way in force between all members.
func (r *Relay) All(w Way) {
	for from := range r.own {
		for to := range r.own {
			r.Set(from, to, w)
		}
	}
}

// Split cuts both ways between members of which one is on the left and one is not.
func (r *Relay) Split(left func(i int) bool, cut bool) {
	for from := range r.own {
		for to := range r.own {
			if left(from) != left(to) {
				r.Set(from, to, Way{Cut: cut})
			}
		}
	}
}

func (r *Relay) way(from, to int) Way {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ways[[2]int{from, to}]
}

func (r *Relay) drawn(share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < share
}

// wait is how long a packet is under way.
func (r *Relay) wait(w Way) time.Duration {
	if w.Jitter <= 0 {
		return w.Delay
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.Delay + time.Duration(r.rng.Int64N(int64(w.Jitter)))
}

// packets passes on what comes for a member.
func (r *Relay) packets(to int) {
	b := make([]byte, 64<<10)
	for {
		n, at, err := r.udp[to].ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		from, known := r.others[at.Addr().Unmap()]
		w := r.way(from, to)
		if !known || w.Cut || r.drawn(w.Loss) {
			continue
		}
		times := 1
		if r.drawn(w.Double) {
			times = 2
		}
		packet := append([]byte(nil), b[:n]...)
		for range times {
			send := func() { _, _ = r.udp[from].WriteToUDPAddrPort(packet, r.Own(to)) }
			if wait := r.wait(w); wait > 0 {
				time.AfterFunc(wait, send)
			} else {
				send()
			}
		}
	}
}

func (r *Relay) accept(to int) {
	for {
		c, err := r.tcp[to].Accept()
		if err != nil {
			return
		}
		from, known := r.others[c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
		if !known || !r.hold(c) {
			c.Close()
			continue
		}
		r.running.Go(func() { r.stream(c, from, to) })
	}
}

// hold keeps a connection, which Close closes.
func (r *Relay) hold(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.streams[c] = true
	}
	return !r.closed
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, c)
}

// stream passes a connection on, from the address at which its sender is known.
func (r *Relay) stream(near net.Conn, from, to int) {
	defer r.drop(near)
	if !r.reached(from, to) {
		return
	}
	d := net.Dialer{Timeout: time.Second, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(r.shown[from], 0))}
	far, err := d.Dial("tcp4", r.Own(to).String())
	if err != nil {
		return
	}
	defer r.drop(far)
	if !r.hold(far) {
		return
	}
	back := make(chan struct{})
	go func() {
		defer close(back)
		r.pass(near, far, to, from)
	}()
	r.pass(far, near, from, to)
	<-back
}

// reached waits until a connection could be opened: its packets go both ways.
func (r *Relay) reached(from, to int) bool {
	for r.way(from, to).Cut || r.way(to, from).Cut {
		if !r.sleep(repeat / 4) {
			return false
		}
	}
	return r.sleep(r.way(from, to).Delay + r.way(to, from).Delay)
}

func (r *Relay) sleep(d time.Duration) bool {
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

// pass carries bytes one way until the end of either side. What is cut waits for the heal.
func (r *Relay) pass(dst, src net.Conn, from, to int) {
	defer func() {
		if c, ok := dst.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		if n > 0 {
			w := r.way(from, to)
			for w.Cut || r.drawn(w.Loss) {
				if !r.sleep(repeat) {
					return
				}
				w = r.way(from, to)
			}
			wait := w.Delay
			if w.Trickle > 0 {
				wait += time.Duration(float64(n) / float64(w.Trickle) * float64(time.Second))
			}
			if !r.sleep(wait) {
				return
			}
			if _, err := dst.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Close ends the network.
func (r *Relay) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
	for c := range r.streams {
		c.Close()
	}
	r.mu.Unlock()
	for _, ln := range r.tcp {
		ln.Close()
	}
	for _, c := range r.udp {
		c.Close()
	}
	r.running.Wait()
}
