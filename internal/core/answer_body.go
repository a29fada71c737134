package core

import "io"

// answerBody is the rest of a streamed answer. It calls ended as soon as the last byte has been read, so that the
// client cannot have the whole answer earlier, or when the body fails or is closed. ended may be called again.
type answerBody struct {
	io.ReadCloser
	remaining int64 // bytes that were announced and not read; negative if the length is unknown
	ended     func()
}

// Read reads the next bytes.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	lengthKnown := b.remaining >= 0
	b.remaining -= int64(n)
	if err != nil || lengthKnown && b.remaining <= 0 {
		b.ended()
	}
	return n, err
}

// Close closes the body.
func (b *answerBody) Close() error {
	defer b.ended()
	return b.ReadCloser.Close()
}

// trackAnswer keeps the request's id in use until a streamed answer has ended: until then the request is open for its
// client. It is called with Pool.mu held.
func (p *Pool) trackAnswer(r *OpenRequest, answer *Answer) {
	if answer == nil || answer.StreamedBody == nil {
		return
	}
	remaining := int64(-1)
	if answer.ContentLength >= 0 {
		remaining = max(0, answer.ContentLength-int64(len(answer.Body)))
	}
	r.answerStreams = true
	answer.StreamedBody = &answerBody{answer.StreamedBody, remaining, func() { p.answerEnded(r) }}
}

// answerEnded records that a streamed answer has ended, and frees the request's id if no attempt is in flight.
func (p *Pool) answerEnded(r *OpenRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !r.answerStreams {
		return
	}
	r.answerStreams = false
	if p.requests[r.id] != r {
		p.shared.closeRequestID(r.ID)
	}
}
