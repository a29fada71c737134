package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

const (
	// writerGrace is how long after the answer's head the goroutine that writes the request may report that it
	// has finished: on a busy node the answer can arrive before the report.
	writerGrace = 50 * time.Millisecond
	// drainTimeout limits how long the rest of an answer is read and discarded so that its connection can be
	// used again; beyond that a new connection costs less.
	drainTimeout = 250 * time.Millisecond
)

// attempt is one attempt on a connection. It belongs to the goroutine that called Send.
type attempt struct {
	ctx     context.Context // done when the attempt is cancelled; its cause is the reason
	conn    *serverConn
	message *core.Message
	gate    core.AttemptGate
	// stopInterrupt prevents the interruption of the connection when ctx is done. It returns false if the
	// interruption has begun: the connection cannot be used any more.
	stopInterrupt func() bool
}

// Send sends one attempt to the server, at its current address, and returns the result. The answer is not nil
// only with decide.OK. Send returns soon after ctx is done, whose cause is core.ErrTimedOut or
// core.ErrCancelled. Send may be called concurrently.
func (s *server) Send(ctx context.Context, addr string, message *core.Message, gate core.AttemptGate) (decide.Result, *core.Answer) {
	c, err := s.get(ctx, s, addr)
	switch {
	case errors.Is(err, errNoCapacity) || errors.Is(err, errLocalShortage):
		return notSent(ctx), nil
	case err != nil:
		return core.ResultWithoutAnswer(ctx, true), nil
	}
	deadlines, ok := gate.Begin()
	if !ok {
		s.putIdle(c) // no byte has been written to it
		return notSent(ctx), nil
	}
	// A request that is not completely written by this deadline never ran. If the deadline cannot be set, the
	// connection is closed, and the write returns the error.
	_ = c.SetWriteDeadline(deadlines.WriteBy)
	a := &attempt{ctx: ctx, conn: c, message: message, gate: gate, stopInterrupt: context.AfterFunc(ctx, c.interrupt)}
	var resp *http.Response
	var result decide.Result
	if message.StreamedBody == nil {
		resp, result = a.sendBuffered(addr, deadlines)
	} else {
		resp, result = a.sendStreaming(addr, deadlines)
	}
	if resp == nil {
		return result, nil
	}
	return a.receive(resp, deadlines)
}

// notSent returns the result of an attempt that was not sent for a reason of this node. It counts against no
// server, unless the attempt was cancelled meanwhile.
func notSent(ctx context.Context) decide.Result {
	if ctx.Err() == nil {
		return decide.Abandoned
	}
	return core.ResultWithoutAnswer(ctx, true)
}

// sendBuffered writes a request whose body is complete, and reads the head of its answer. If the attempt has
// ended, the response is nil and the result is set.
func (a *attempt) sendBuffered(addr string, deadlines core.AttemptDeadlines) (*http.Response, decide.Result) {
	sent, err := a.conn.send(a.message, addr, deadlines, a.gate)
	if err != nil {
		return nil, a.endUnsent(err, sent.bytes)
	}
	a.gate.RequestWritten(core.WrittenRequest{Timeout: sent.timeout, LeftAt: a.conn.lastWritten})
	resp, err := a.conn.readHead(sent.request)
	if err != nil {
		a.conn.discard()
		return nil, core.ResultWithoutAnswer(a.ctx, false)
	}
	return resp, 0
}

// endUnsent ends an attempt whose request was not written completely, and so never ran. A connection on which
// no byte was written is reused unless it was interrupted.
func (a *attempt) endUnsent(err error, sent int) decide.Result {
	if errors.Is(err, errTimeoutTooLarge) {
		a.conn.discard()
		a.gate.WriteTooSlow()
		return notSent(a.ctx)
	}
	if !errors.Is(err, errAttemptInvalid) {
		a.conn.discard()
		return core.ResultWithoutAnswer(a.ctx, true)
	}
	if a.stopInterrupt() && sent == 0 {
		_ = a.conn.SetWriteDeadline(time.Time{}) // fails on a closed connection, whose next use returns the error
		a.conn.server.putIdle(a.conn)
	} else {
		a.conn.discard()
	}
	return notSent(a.ctx)
}

// sendStreaming writes a request whose body is still arriving, and concurrently reads the head of its answer: a
// server may decline the request at any time. If the attempt has ended, the response is nil and the result is
// set.
func (a *attempt) sendStreaming(addr string, deadlines core.AttemptDeadlines) (*http.Response, decide.Result) {
	timeout := deadlines.Remaining()
	req := newRequest(a.message, addr, timeout)
	written := make(chan error, 1)
	go func() { written <- a.writeStream(req, timeout) }() // every path below waits for this goroutine
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

// writeStream writes a request whose body is still arriving. If it fails, it interrupts the connection, since
// no answer can be expected.
func (a *attempt) writeStream(req *http.Request, timeout time.Duration) error {
	if err := req.Write(validatingWriter{a.conn, a.gate}); err != nil {
		a.conn.interrupt()
		return fmt.Errorf("writing a streaming request: %w", err)
	}
	a.gate.RequestWritten(core.WrittenRequest{Timeout: timeout, LeftAt: a.conn.lastWritten})
	return nil
}

// awaitWriter waits for the goroutine that writes a streaming request, after the answer's head has been read or
// its read has failed. It reports whether the last byte was written, and whether the writer had to be stopped
// because the answer was early.
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

// checkEarlyAnswer sets the deadline for reading an answer whose request had to be stopped. It returns an error
// if the answer reports success although the last byte was not written: it cannot belong to this request.
func (a *attempt) checkEarlyAnswer(resp *http.Response, complete bool) error {
	_ = a.conn.SetDeadline(time.Now().Add(drainTimeout)) // if it fails, so does the next read
	resp.Close = true
	if !complete && resp.StatusCode < http.StatusInternalServerError {
		return fmt.Errorf("%w: status %d before the request's last byte was written", errBadAnswer, resp.StatusCode)
	}
	return nil
}

// receive reads the body of an answer and ends the attempt: its connection is closed, made idle, or owned by
// the rest of a streaming answer. An answer without a length that is still arriving when the attempt ends becomes a
// streaming one: its server is sound, and the answer may be long.
func (a *attempt) receive(resp *http.Response, deadlines core.AttemptDeadlines) (decide.Result, *core.Answer) {
	upstream := a.conn.server.Upstream
	if result, final := upstream.resultOfHead(resp); final {
		a.skipBody(resp)
		return result, nil
	}
	reader := bodyReader{conn: a.conn, response: resp, maxBytes: upstream.MaxBody, forwardFrom: deadlines.ForwardFrom, memory: a.gate.AnswerMemory()}
	first, err := reader.read()
	if err != nil {
		reader.memory.Release()
		a.conn.discard()
		return core.ResultWithoutAnswer(a.ctx, false), nil
	}
	if first.more {
		return a.stream(resp, first, reader.memory, deadlines.AnswerBy)
	}
	a.endAnswered(resp)
	return decide.OK, &core.Answer{
		StatusCode: resp.StatusCode, Header: core.RemoveHopByHopHeaders(resp.Header, ""), Body: first.bytes, ContentLength: completeLength(resp, first.bytes), Memory: reader.memory,
	}
}

// completeLength returns the length of an answer whose body has been read to its end. The answer to a HEAD request has no
// body, and announces the length that one to GET would have, if the server knows it.
func completeLength(resp *http.Response, body []byte) int64 {
	if resp.Request.Method == http.MethodHead {
		return resp.ContentLength
	}
	return int64(len(body))
}

// skipBody reads and drops the body of an answer that is not forwarded, so that its connection can be used again, unless
// that takes too long.
func (a *attempt) skipBody(resp *http.Response) {
	drain := time.AfterFunc(drainTimeout, a.conn.interrupt)
	n, err := io.CopyN(io.Discard, resp.Body, core.MaxBufferedAnswer+1)
	if complete := n <= core.MaxBufferedAnswer && errors.Is(err, io.EOF); drain.Stop() && complete {
		a.endAnswered(resp)
		return
	}
	a.conn.discard()
}

// endAnswered ends an attempt whose answer has been read to its end. An interruption that has begun must not affect the
// connection's next attempt.
func (a *attempt) endAnswered(resp *http.Response) {
	if a.stopInterrupt() && !resp.Close {
		a.conn.server.putIdle(a.conn)
	} else {
		a.conn.discard()
	}
}

// stream ends an attempt with a streaming answer, whose first bytes may have been read. From now on the connection
// is owned by the answer's StreamedBody.
func (a *attempt) stream(resp *http.Response, first bodyStart, memory core.AnswerMemory, answerBy time.Time) (decide.Result, *core.Answer) {
	if !a.stopInterrupt() { // cancelled at the last moment
		memory.Release()
		a.conn.discard()
		return core.ResultWithoutAnswer(a.ctx, false), nil
	}
	a.conn.clearDeadline()
	return decide.OK, &core.Answer{
		StatusCode: resp.StatusCode, Header: core.RemoveHopByHopHeaders(resp.Header, ""), Body: first.bytes, ContentLength: resp.ContentLength, Memory: memory,
		StreamedBody: &streamingBody{
			conn: a.conn, resp: resp, begun: first.begun, received: int64(len(first.bytes)), lastRead: first.at,
			bytesLeft: a.conn.server.MaxBody - int64(len(first.bytes)), clientDeadline: answerBy,
		},
	}
}

// resultOfHead returns the result of an attempt by the head of its answer; final is false if the result also
// depends on the body.
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
