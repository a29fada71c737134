package emulator

import (
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to what passes through it. The zero value passes
// everything on.
type Fault struct {
	Delay     time.Duration // added each way
	Throttle  int           // bytes a second each way; 0 for no limit
	BlackHole bool          // new connections open and nothing passes
	HalfOpen  bool          // what the far side sends is lost
}

// Proxy is a network between two stand-ins that can be made to fail.
type Proxy struct {
	Addr string

	ln net.Listener
	to string

	mu    sync.Mutex
	fault Fault
	open  map[net.Conn]bool
}

// NewProxy starts a proxy to an address.
func NewProxy(to string) (*Proxy, error) {
	ln, err := listen("")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: ln.Addr().String(), ln: ln, to: to, open: make(map[net.Conn]bool)}
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

// Set puts a fault in force, for open connections too.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *Proxy) now() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Cut resets all open connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		c.Close()
	}
}

// Close ends the proxy and all connections.
func (p *Proxy) Close() error {
	err := p.ln.Close()
	p.Cut()
	return err
}

func (p *Proxy) hold(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.open[c] = true
	} else {
		delete(p.open, c)
	}
}

func (p *Proxy) serve(near net.Conn) {
	p.hold(near, true)
	defer p.hold(near, false)
	defer near.Close()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	p.hold(far, true)
	defer p.hold(far, false)
	defer far.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.pass(near, far, true)
	}()
	p.pass(far, near, false)
	<-done
}

// pass carries bytes one way until either side ends, and ends both then.
func (p *Proxy) pass(to, from net.Conn, back bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			f := p.now()
			wait := f.Delay
			if f.Throttle > 0 {
				wait += time.Duration(n) * time.Second / time.Duration(f.Throttle)
			}
			time.Sleep(wait)
			if f = p.now(); !f.BlackHole && (!f.HalfOpen || !back) {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
