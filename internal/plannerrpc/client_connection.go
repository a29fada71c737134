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

// The backoff between two attempts to connect to a planner doubles from the minimum to the maximum, and
// is extended by up to half at random, so that forwarders do not reconnect all at once.
const (
	minReconnectBackoff    = 100 * time.Millisecond
	maxReconnectBackoff    = 2 * time.Second
	reconnectBackoffSpread = 0.5
)

// plannerConnection is a Client's connection to one planner, which is established again whenever it is
// lost. Once ctx is done, the planner has been replaced and the forwarder receives no more events.
type plannerConnection struct {
	client  *Client
	index   int // the planner's position in the order of preference
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	outbox  *outbox // outbox of the current connection; guarded by client.mu
}

// run connects to the planner, and reconnects after each loss, until ctx is done.
func (p *plannerConnection) run() {
	backoff := minReconnectBackoff
	lastLogged := ""
	for p.ctx.Err() == nil {
		began := time.Now()
		err := p.connectOnce()
		if p.ctx.Err() != nil {
			return
		}
		if text := err.Error(); text != lastLogged { // log repeated failures with the same error once
			p.client.options.Log.Warn("no planner connection", "planner", p.address, "pool", p.client.options.Pool, "err", err)
			lastLogged = text
		}
		if time.Since(began) > maxReconnectBackoff {
			backoff = minReconnectBackoff
		}
		p.sleep(time.Duration(float64(backoff) * (1 + reconnectBackoffSpread*rand.Float64())))
		backoff = min(2*backoff, maxReconnectBackoff)
	}
}

// sleep waits for d or until ctx is done.
func (p *plannerConnection) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// handleEvent passes an event of this connection to the forwarder, unless the planner has been replaced.
func (p *plannerConnection) handleEvent(event func(now time.Duration)) {
	p.client.handleEvent(func(now time.Duration) {
		if p.ctx.Err() == nil {
			event(now)
		}
	})
}

// connectOnce connects, then sends and receives until the connection is lost or closed. It returns the
// cause.
func (p *plannerConnection) connectOnce() error {
	lost := func(now time.Duration) { p.client.forwarder.PlannerDisconnected(now, p.index) }
	conn, reader, err := p.dial()
	if err != nil {
		p.handleEvent(lost)
		return err
	}
	delay := batchDelay
	if p.index > 0 {
		delay = standbyBatchDelay
	}
	out := newOutbox(delay)
	defer context.AfterFunc(p.ctx, func() { out.fail(errClosed) })()
	p.handleEvent(func(now time.Duration) {
		p.outbox = out
		p.client.forwarder.PlannerConnected(now, p.index)
		p.client.options.Log.Info("planner connected", "planner", p.address, "pool", p.client.options.Pool)
	})
	var writer sync.WaitGroup
	writer.Go(func() { out.run(conn) })
	err = p.receive(reader)
	out.fail(err)
	writer.Wait()
	p.handleEvent(lost)
	return out.cause(err)
}

// dial connects to the planner and exchanges Hellos.
func (p *plannerConnection) dial() (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(p.ctx, handshakeTimeout)
	defer cancel()
	dialer := tls.Dialer{NetDialer: &net.Dialer{KeepAliveConfig: keepAlive}, Config: p.client.options.TLS}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, nil, fmt.Errorf("connecting to planner: %w", err)
	}
	reader, err := p.exchangeHello(conn)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, reader, nil
}

// exchangeHello sends a Hello and reads the answer: an empty frame, or the reason why the planner rejects the
// forwarder.
func (p *plannerConnection) exchangeHello(conn net.Conn) (*bufio.Reader, error) {
	defer context.AfterFunc(p.ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // fails only on a closed connection, as the write below does
	options := &p.client.options
	hello := planner.Hello{Version: planner.Version, Name: options.Name, Pool: options.Pool, Classes: options.Classes}
	if err := writeFrame(conn, hello.Append(lengthprefix.Begin(nil))); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	reason, err := readFrame(reader, nil, planner.MaxHello)
	if err != nil {
		return nil, fmt.Errorf("reading a planner's answer to Hello: %w", err)
	}
	if len(reason) > 0 {
		return nil, fmt.Errorf("planner rejected the forwarder: %.200q", reason)
	}
	_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection
	return reader, nil
}

// receive passes the planner's messages to the forwarder until the connection is lost or closed.
func (p *plannerConnection) receive(reader *bufio.Reader) error {
	var buf []byte
	for {
		payload, err := readFrame(reader, buf, planner.MaxFrame)
		if err != nil {
			return err
		}
		buf = payload
		p.handleEvent(func(now time.Duration) {
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
