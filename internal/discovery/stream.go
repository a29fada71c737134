package discovery

import (
	"context"
	"io"
	"time"

	"jasperpin/internal/core"
)

const (
	// flushPause is how long an answer must pause before its decoded servers are applied, and flushAfter how long a
	// decoded server waits at most: a node counts as knowing a change from the time at which discovery wrote it.
	flushPause = 10 * time.Millisecond
	flushAfter = 40 * time.Millisecond
	// chunkSize is how much of an answer is read at a time, in bytes, and chunksAhead how many chunks may wait to
	// be decoded: more than a complete answer has, unless it trickles.
	chunkSize   = 16 << 10
	chunksAhead = maxListBytes / chunkSize
)

// chunk is a part of an answer's body, or its end.
type chunk struct {
	text []byte
	err  error
}

// streamedAnswer is the body of an answer that is decoded as it arrives. The decoded servers are applied when the
// decoder has to wait. An answer that stops in the middle has thus applied all servers that were received
// completely, and an answer without pauses is applied as a whole.
//
// One goroutine reads ahead; it ends with the body or the call's context. All fields except chunks belong to the
// decoder's goroutine.
type streamedAnswer struct {
	ctx    context.Context // context of the call
	chunks chan chunk

	rest      []byte // unread part of the last chunk
	err       error
	apply     func([]core.Endpoint)
	pending   []core.Endpoint // servers decoded and not yet applied
	pendingAt time.Time       // when the first pending server was decoded
	flushes   int
}

// newStreamedAnswer starts to read a body, until its end or until ctx is done. progress is called before each read.
func newStreamedAnswer(ctx context.Context, body io.Reader, progress func(), apply func([]core.Endpoint)) *streamedAnswer {
	a := &streamedAnswer{ctx: ctx, chunks: make(chan chunk, chunksAhead), apply: apply}
	go a.readAhead(io.LimitReader(body, maxListBytes), progress)
	return a
}

func (a *streamedAnswer) readAhead(body io.Reader, progress func()) {
	for {
		progress()
		text := make([]byte, chunkSize)
		n, err := body.Read(text)
		select {
		case a.chunks <- chunk{text[:n], err}:
		case <-a.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// Read implements io.Reader for the decoder.
func (a *streamedAnswer) Read(p []byte) (int, error) {
	for len(a.rest) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		next := a.next()
		a.rest, a.err = next.text, next.err
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// next waits for the next chunk, and applies the decoded servers if it does not arrive soon.
func (a *streamedAnswer) next() chunk {
	if len(a.pending) > 0 {
		pause := time.NewTimer(min(flushPause, flushAfter-time.Since(a.pendingAt)))
		defer pause.Stop()
		select {
		case next := <-a.chunks:
			return next
		case <-pause.C:
			a.flush()
		}
	}
	select {
	case next := <-a.chunks:
		return next
	case <-a.ctx.Done():
		return chunk{err: context.Cause(a.ctx)}
	}
}

// add adds a decoded server.
func (a *streamedAnswer) add(endpoint core.Endpoint) {
	if len(a.pending) == 0 {
		a.pendingAt = time.Now()
	}
	a.pending = append(a.pending, endpoint)
	if len(a.pending)%yieldInterval == 0 && time.Since(a.pendingAt) > flushAfter {
		a.flush()
	}
}

// flush applies the pending servers.
func (a *streamedAnswer) flush() {
	if len(a.pending) == 0 {
		return
	}
	pending := a.pending
	a.pending = nil
	a.flushes++
	a.apply(pending)
}
