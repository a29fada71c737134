package plannerrpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/planner"
)

// Backoff between two attempts to connect to a planner: doubled from the least to the most, and
// lengthened by up to half at random, so that forwarders do not come back all at once.
const (
	minReconnectBackoff    = 100 * time.Millisecond
	maxReconnectBackoff    = 2 * time.Second
	reconnectBackoffSpread = 0.5
)

// plannerConnection is a Client's connection to one planner, made anew whenever it ends. Once ctx is
// done its planner has been replaced, and nothing more is fed to the forwarder.
type plannerConnection struct {
	client  *Client
	index   int // in the order of preference
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	outbox  *outbox // of the newest connection; guarded by the client's mu
}

// run keeps the planner connected until ctx is done.
func (p *plannerConnection) run() {
	backoff := minReconnectBackoff
	logged := ""
	for p.ctx.Err() == nil {
		began := time.Now()
		err := p.connectOnce()
		if p.ctx.Err() != nil {
			return
		}
		if text := err.Error(); text != logged { // one line, however often it fails in the same way
			p.client.options.Log.Warn("no planner", "planner", p.address, "pool", p.client.options.Pool, "err", err)
			logged = text
		}
		if time.Since(began) > maxReconnectBackoff {
			backoff = minReconnectBackoff
		}
		p.sleep(time.Duration(float64(backoff) * (1 + reconnectBackoffSpread*rand.Float64())))
		backoff = min(2*backoff, maxReconnectBackoff)
	}
}

// sleep waits, or until ctx is done.
func (p *plannerConnection) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// feed feeds the forwarder an event of this connection, unless the planner has been replaced.
func (p *plannerConnection) feed(event func(now time.Duration)) {
	p.client.do(func(now time.Duration) {
		if p.ctx.Err() == nil {
			event(now)
		}
	})
}

// connectOnce connects, and sends and receives until the connection ends. It returns why that ended.
func (p *plannerConnection) connectOnce() error {
	lost := func(now time.Duration) { p.client.forwarder.PlannerDisconnected(now, p.index) }
	conn, reader, err := p.dial()
	if err != nil {
		p.feed(lost)
		return err
	}
	delay := batchDelay
	if p.index > 0 {
		delay = standbyBatchDelay
	}
	out := newOutbox(delay)
	defer context.AfterFunc(p.ctx, func() { out.fail(errClosed) })()
	p.feed(func(now time.Duration) {
		p.outbox = out
		p.client.forwarder.PlannerConnected(now, p.index)
		p.client.options.Log.Info("planner connected", "planner", p.address, "pool", p.client.options.Pool)
	})
	var writer sync.WaitGroup
	writer.Go(func() { out.run(conn) })
	err = p.receive(reader)
	out.fail(err)
	writer.Wait()
	p.feed(lost)
	return out.cause(err)
}

// dial connects to the planner and introduces the forwarder.
func (p *plannerConnection) dial() (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(p.ctx, handshakeTimeout)
	defer cancel()
	dialer := tls.Dialer{NetDialer: &net.Dialer{KeepAliveConfig: keepAlive}, Config: p.client.options.TLS}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, nil, fmt.Errorf("connecting to a planner: %w", err)
	}
	reader, err := p.greet(conn)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, reader, nil
}

// greet sends a Hello and reads the answer: an empty frame, or why the planner rejects the forwarder.
func (p *plannerConnection) greet(conn net.Conn) (*bufio.Reader, error) {
	defer context.AfterFunc(p.ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // fails only on a closed connection, as what follows then does
	options := &p.client.options
	hello := planner.Hello{Version: planner.Version, Name: options.Name, Pool: options.Pool, Classes: options.Classes}
	if err := writeFrame(conn, hello.Append(lengthprefix.Begin(nil))); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	reason, err := readFrame(reader, nil, planner.MaxHello)
	if err != nil {
		return nil, fmt.Errorf("greeting a planner: %w", err)
	}
	if len(reason) > 0 {
		return nil, fmt.Errorf("greeting a planner: the planner refuses: %.200q", reason)
	}
	_ = conn.SetDeadline(time.Time{}) // as above
	return reader, nil
}

// receive feeds the forwarder what the planner sends until the connection ends.
func (p *plannerConnection) receive(reader *bufio.Reader) error {
	var buf []byte
	for {
		payload, err := readFrame(reader, buf, planner.MaxFrame)
		if err != nil {
			return err
		}
		buf = payload
		p.feed(func(now time.Duration) {
			err = planner.Decode(payload, func(m planner.Message) error {
				p.client.forwarder.AnswerReceived(now, p.index, m)
				return nil
			})
		})
		if err != nil {
			return err
		}
	}
}
