package emulator

import (
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to the bytes that it forwards. The zero value forwards everything at once.
type Fault struct {
	Delay     time.Duration // of each piece, in each direction
	Throttle  int           // bytes a second in each direction; 0 for no limit
	BlackHole bool          // connections are accepted, and all bytes are lost
	HalfOpen  bool          // bytes from the target are lost
}

// Proxy is a TCP link to a target that can be made to fail. Each connection has two goroutines, which end
// with it; Close ends all connections and does not wait for them.
type Proxy struct {
	Addr string

	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to a target address.
func NewProxy(target string) (*Proxy, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: ln.Addr().String(), listener: ln, target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Set changes the fault, also for open connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Cut resets all open connections. New ones are accepted.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		c.Close()
	}
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Cut()
	return err
}

// track notes that a connection is open, for Cut.
func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

// closeConn closes a connection that was tracked.
func (p *Proxy) closeConn(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// serve forwards one connection, in both directions.
func (p *Proxy) serve(near net.Conn) {
	p.track(near)
	defer p.closeConn(near)
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(far)
	defer p.closeConn(far)
	answersDone := make(chan struct{})
	go func() {
		defer close(answersDone)
		p.copyBytes(near, far, true)
	}()
	p.copyBytes(far, near, false)
	<-answersDone
}

// copyBytes forwards one direction until either side ends it, and closes both then.
func (p *Proxy) copyBytes(dst, src net.Conn, fromTarget bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !p.deliver(dst, buffer[:n], fromTarget) {
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes a piece of a stream as the fault has it. It returns false if the connection has failed.
func (p *Proxy) deliver(dst net.Conn, piece []byte, fromTarget bool) bool {
	fault := p.currentFault()
	delay := fault.Delay
	if fault.Throttle > 0 {
		delay += time.Duration(len(piece)) * time.Second / time.Duration(fault.Throttle)
	}
	time.Sleep(delay)
	fault = p.currentFault() // it may have changed meanwhile
	if fault.BlackHole || fault.HalfOpen && fromTarget {
		return true
	}
	_, err := dst.Write(piece)
	return err == nil
}
