package emulator

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a Proxy does to the bytes that it forwards. The zero value forwards all bytes without delay.
type Fault struct {
	Delay     time.Duration // delay of each chunk, in each direction
	Throttle  int           // bytes a second in each direction; 0 for no limit
	BlackHole bool          // connections are accepted, and all bytes are dropped
	HalfOpen  bool          // bytes from the target are dropped
}

// Proxy is a TCP proxy to a target address that can be made to fail. Two goroutines serve each connection until it
// is closed. Close closes all connections and does not wait for their goroutines.
type Proxy struct {
	Addr string

	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
	// received are the times at which bytes of the clients last arrived, by the address from which the target sees them.
	// They outlast the connections, whose last bytes the target may read later.
	received map[string]time.Time
}

// NewProxy starts a proxy to a target address.
func NewProxy(target string) (*Proxy, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: ln.Addr().String(), listener: ln, target: target, conns: make(map[net.Conn]bool), received: make(map[string]time.Time)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
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

// ResetConnections resets all open connections. New connections are accepted.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		resetOnClose(conn)
		conn.Close()
	}
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.ResetConnections()
	return err
}

// track adds an open connection to those that ResetConnections resets.
func (p *Proxy) track(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
}

// recordReceived records when bytes of the client arrived that the target sees under an address.
func (p *Proxy) recordReceived(seenAs net.Addr, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received[seenAs.String()] = at
}

// LastReceived returns when the proxy's machine received the last bytes that the proxy has read from the client that its
// target sees under an address. It may have read and forwarded them later.
func (p *Proxy) LastReceived(seenAs net.Addr) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received[seenAs.String()]
}

// closeConn closes a tracked connection and removes it.
func (p *Proxy) closeConn(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// serve forwards one connection, in both directions.
func (p *Proxy) serve(clientConn net.Conn) {
	p.track(clientConn)
	defer p.closeConn(clientConn)
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(targetConn)
	defer p.closeConn(targetConn)
	responsesDone := make(chan struct{})
	go func() {
		defer close(responsesDone)
		p.copyBytes(clientConn, targetConn, true)
	}()
	p.copyBytes(targetConn, clientConn, false)
	<-responsesDone
}

// copyBytes copies bytes in one direction until either connection ends, and then closes both. A reset is passed on as
// one, and so is the end of a stream of which a fault has dropped bytes: neither is the end of an answer.
func (p *Proxy) copyBytes(dst, src net.Conn, fromTarget bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if !fromTarget {
				p.recordReceived(dst.LocalAddr(), LastReceived(src))
			}
			delivered, writeErr := p.deliver(dst, buffer[:n], fromTarget)
			if writeErr != nil {
				return
			}
			dropped = dropped || !delivered
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) || dropped || p.currentFault().BlackHole {
			resetOnClose(dst)
		}
		return
	}
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0) // fails only on a closed connection
	}
}

// deliver writes a chunk of a stream, subject to the current fault, which may drop it. The error is that of the write.
func (p *Proxy) deliver(dst net.Conn, chunk []byte, fromTarget bool) (delivered bool, err error) {
	fault := p.currentFault()
	delay := fault.Delay
	if fault.Throttle > 0 {
		delay += time.Duration(len(chunk)) * time.Second / time.Duration(fault.Throttle)
	}
	time.Sleep(delay)
	fault = p.currentFault() // the fault may have changed meanwhile
	if fault.BlackHole || fault.HalfOpen && fromTarget {
		return false, nil
	}
	_, err = dst.Write(chunk)
	return err == nil, err //nolint:wrapcheck // the caller only needs to know that there is one
}
