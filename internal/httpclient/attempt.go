package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

const (
	// writerGrace is how much later than an answer's head the writer of its request may report that it is
	// done: on a busy node the answer can overtake the report.
	writerGrace = 50 * time.Millisecond
	// drainTimeout bounds how long the rest of an answer that nobody needs is read, so that its connection
	// can be used again; after that a new connection is cheaper.
	drainTimeout = 250 * time.Millisecond
)

// attempt is one attempt on a connection. It belongs to the goroutine that called Send.
type attempt struct {
	ctx     context.Context // ends when the attempt is given up; its cause says why
	conn    *serverConn
	message *core.Message
	gate    core.AttemptGate
	// stopInterrupt stops the interruption of the connection as ctx ends. It returns false where that has
	// begun: the connection is of no further use.
	stopInterrupt func() bool
}

// Send sends one attempt to the server, which has the address now, and returns how it ended. The answer
// comes with decide.OK only. Send returns soon after ctx has ended, whose cause is core.ErrTimedOut or
// core.ErrCancelled. Calls may run concurrently.
func (s *server) Send(ctx context.Context, addr string, m *core.Message, gate core.AttemptGate) (decide.Result, *core.Answer) {
	c, err := s.get(ctx, s, addr)
	switch {
	case errors.Is(err, errNoCapacity) || errors.Is(err, errLocalShortage):
		return notSent(ctx), nil
	case err != nil:
		return core.ResultWithoutAnswer(ctx, true), nil
	}
	deadlines, ok := gate.Begin()
	if !ok {
		s.putIdle(c) // nothing has been written to it
		return notSent(ctx), nil
	}
	// What is not completely written by then has not run. Where the deadline cannot be set the connection
	// is closed, and the write says so.
	_ = c.SetWriteDeadline(deadlines.WriteBy)
	a := &attempt{ctx: ctx, conn: c, message: m, gate: gate, stopInterrupt: context.AfterFunc(ctx, c.interrupt)}
	var resp *http.Response
	var result decide.Result
	if m.StreamedBody == nil {
		resp, result = a.sendBuffered(addr, deadlines)
	} else {
		resp, result = a.sendStreaming(addr, deadlines)
	}
	if resp == nil {
		return result, nil
	}
	return a.receive(resp)
}

// notSent is the outcome of an attempt that was not sent for a reason of this node's: it counts against no
// server, unless it was given up meanwhile.
func notSent(ctx context.Context) decide.Result {
	if ctx.Err() == nil {
		return decide.Abandoned
	}
	return core.ResultWithoutAnswer(ctx, true)
}

// sendBuffered writes a request whose body is complete, and reads the head of its answer. The response is
// nil where the attempt has ended, with the result.
func (a *attempt) sendBuffered(addr string, deadlines core.AttemptDeadlines) (*http.Response, decide.Result) {
	sent, err := a.conn.send(a.message, addr, deadlines, a.gate)
	if err != nil {
		return nil, a.endUnsent(err, sent.bytes)
	}
	a.gate.Wrote(sent.timeout)
	resp, err := a.conn.readHead(sent.request)
	if err != nil {
		a.conn.discard()
		return nil, core.ResultWithoutAnswer(a.ctx, false)
	}
	return resp, 0
}

// endUnsent ends an attempt whose request was not written completely: it has not run. A connection on which
// nothing was written is as good as before, unless it was interrupted.
func (a *attempt) endUnsent(err error, sent int) decide.Result {
	if !errors.Is(err, errNotValid) {
		a.conn.discard()
		return core.ResultWithoutAnswer(a.ctx, true)
	}
	if a.stopInterrupt() && sent == 0 {
		_ = a.conn.SetWriteDeadline(time.Time{}) // fails on a closed connection, which its next use notices
		a.conn.server.putIdle(a.conn)
	} else {
		a.conn.discard()
	}
	return notSent(a.ctx)
}

// sendStreaming writes a request whose body is still arriving, and reads the head of its answer
// concurrently: a server may decline the request at any moment. The response is nil where the attempt has
// ended, with the result.
func (a *attempt) sendStreaming(addr string, deadlines core.AttemptDeadlines) (*http.Response, decide.Result) {
	timeout := deadlines.Remaining()
	req := newRequest(a.message, addr, timeout)
	written := make(chan error, 1)
	go func() { written <- a.writeStream(req, timeout) }() // every path below waits for it
	resp, err := a.conn.readHead(req)
	complete, early := a.awaitWriter(written, err != nil)
	if early && err == nil {
		err = a.checkEarlyAnswer(resp, complete)
	}
	if err != nil {
		a.conn.discard()
		return nil, core.ResultWithoutAnswer(a.ctx, !complete)
	}
	return resp, 0
}

// writeStream writes a request whose body is still arriving. Where it fails it interrupts the connection,
// as no answer is to be expected.
func (a *attempt) writeStream(req *http.Request, timeout time.Duration) error {
	if err := req.Write(validatingWriter{a.conn, a.gate}); err != nil {
		a.conn.interrupt()
		return fmt.Errorf("writing a streaming request: %w", err)
	}
	a.gate.Wrote(timeout)
	return nil
}

// awaitWriter waits for the writer of a streaming request once the answer's head has arrived, or failed to.
// It reports whether the last byte was written, and whether the writer had to be stopped for an early
// answer.
func (a *attempt) awaitWriter(written <-chan error, failed bool) (complete, early bool) {
	grace := time.NewTimer(writerGrace)
	defer grace.Stop()
	if failed {
		grace.Reset(0)
	}
	select {
	case err := <-written:
		return err == nil, false
	case <-grace.C:
	}
	a.conn.interrupt()
	a.message.StreamedBody.Close() // ends a read of the client's body
	return <-written == nil, true
}

// checkEarlyAnswer prepares the reading of an answer whose request had to be stopped. It fails where the
// answer is one of success though the last byte was not written: it cannot be for this request.
func (a *attempt) checkEarlyAnswer(resp *http.Response, complete bool) error {
	_ = a.conn.SetDeadline(time.Now().Add(drainTimeout)) // fails on a closed connection, and the next read says so
	resp.Close = true
	if !complete && resp.StatusCode < http.StatusInternalServerError {
		return fmt.Errorf("%w: status %d before its request's last byte", errBadAnswer, resp.StatusCode)
	}
	return nil
}

// receive reads the body of an answer. It ends the attempt: its connection is closed, idle, or passed on
// with the rest of a streaming answer.
func (a *attempt) receive(resp *http.Response) (decide.Result, *core.Answer) {
	upstream := a.conn.server.Upstream
	result, final := upstream.resultOfHead(resp)
	stopDrain := func() bool { return true }
	if final { // the body is read for the connection's sake alone
		stopDrain = time.AfterFunc(drainTimeout, a.conn.interrupt).Stop
	}
	body, more, err := a.conn.readBody(resp, upstream.MaxBody)
	if err == nil && more && !final {
		return a.stream(resp, body)
	}
	// An interruption that has begun must not meet the connection's next attempt.
	if stopDrain() && err == nil && !more && a.stopInterrupt() && !resp.Close {
		upstream.putIdle(a.conn)
	} else {
		a.conn.discard()
	}
	switch {
	case final:
		return result, nil
	case err != nil:
		return core.ResultWithoutAnswer(a.ctx, false), nil
	}
	return decide.OK, &core.Answer{
		StatusCode: resp.StatusCode, Header: core.RemoveHopByHopHeaders(resp.Header), Body: body, ContentLength: int64(len(body)),
	}
}

// stream ends an attempt with an answer that streams, of which the first bytes have been read. The
// connection belongs to the answer's StreamedBody from here on.
func (a *attempt) stream(resp *http.Response, first []byte) (decide.Result, *core.Answer) {
	if !a.stopInterrupt() { // given up at the last moment
		a.conn.discard()
		return core.ResultWithoutAnswer(a.ctx, false), nil
	}
	a.conn.clearDeadline()
	return decide.OK, &core.Answer{
		StatusCode: resp.StatusCode, Header: core.RemoveHopByHopHeaders(resp.Header), Body: first, ContentLength: resp.ContentLength,
		StreamedBody: &streamingBody{
			conn: a.conn, resp: resp, bytesLeft: a.conn.server.MaxBody - int64(len(first)),
		},
	}
}

// resultOfHead is the result of an attempt where the head of its answer alone decides it; final is false
// where the body has to arrive too.
func (u *Upstream) resultOfHead(resp *http.Response) (result decide.Result, final bool) {
	code := resp.StatusCode
	declined := resp.Header.Get(headerDeclined) == "1"
	switch {
	case code == http.StatusOK, u.Plain && code < http.StatusInternalServerError:
		return decide.OK, false
	case declined && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout):
		return decide.Overloaded, true
	}
	return decide.Failed, true
}
