package discovery

import (
	"context"
	"io"
	"time"

	"jasperpin/internal/core"
)

const (
	// flushPause is how long an answer must pause for what has come of it to be passed on, and flushAfter
	// how long what has come waits at the most: a change counts as known from when discovery wrote it.
	flushPause = 10 * time.Millisecond
	flushAfter = 40 * time.Millisecond
	// chunkSize is how much of an answer is read at a time, in bytes, and chunksAhead how many chunks may
	// wait to be decoded: more than a whole answer has, unless it trickles.
	chunkSize   = 16 << 10
	chunksAhead = maxListBytes / chunkSize
)

// chunk is a part of an answer's body, or its end.
type chunk struct {
	text []byte
	err  error
}

// streamedAnswer is the body of an answer that is decoded as it comes. What has been decoded is passed on
// once the decoder has to wait, so that an answer that stops in the middle has passed on all that came
// whole, and one that comes at once is passed on at once.
//
// One goroutine reads ahead; it ends with the body or the call's context. All else belongs to the decoder's.
type streamedAnswer struct {
	ctx    context.Context // of the call
	chunks chan chunk

	rest      []byte // of the last chunk
	err       error
	apply     func([]core.Endpoint)
	pending   []core.Endpoint // decoded and not passed on
	pendingAt time.Time       // when the first of them was decoded
	flushes   int
}

// newStreamedAnswer begins to read a body, until its end or that of ctx. Progress is called ahead of each
// read.
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

// Read is for the decoder.
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

// next waits for the next chunk, and passes on what is decoded where it does not come soon.
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

// add takes a server that has been decoded.
func (a *streamedAnswer) add(endpoint core.Endpoint) {
	if len(a.pending) == 0 {
		a.pendingAt = time.Now()
	}
	a.pending = append(a.pending, endpoint)
	if len(a.pending)%yieldEvery == 0 && time.Since(a.pendingAt) > flushAfter {
		a.flush()
	}
}

// flush passes on what has been decoded.
func (a *streamedAnswer) flush() {
	if len(a.pending) == 0 {
		return
	}
	pending := a.pending
	a.pending = nil
	a.flushes++
	a.apply(pending)
}
