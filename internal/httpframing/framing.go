// Package httpframing follows the bytes that a client sends on a connection and reports, for each request,
// whether its head frames the body unambiguously and where the request ends. It guards against request
// smuggling: net/http accepts some heads that another HTTP implementation reads differently, and does not tell
// which. The package is pure: bytes go in, verdicts come out, and memory is bounded.
//
// A Scanner is a state machine over lines: the request line and headers of a head, then a body by length or by
// chunks, then the next head. What it cannot follow it gives up for good, and no further request is recognised.
package httpframing

import (
	"bytes"
	"strconv"
	"strings"
)

// Head is what a request's head says about its framing.
type Head struct {
	// Ambiguous says that two implementations may see the body's end at different places: both framings,
	// several lengths, a coding other than chunked, a folded line, or chunks under HTTP/1.0.
	Ambiguous bool
}

const (
	// maxLineBytes is how much of a line is kept: more than any header of framing needs.
	maxLineBytes = 256
	// maxHeads bounds the verdicts that have not been taken: a reader's buffer holds few more heads.
	maxHeads = 256
)

type state uint8

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	lost // what follows cannot be interpreted any more
)

// Scanner follows the requests on one connection. The zero value stands at the first byte of the first request.
// It is not safe for concurrent use.
type Scanner struct {
	state      state
	bytesLeft  uint64 // of the body or chunk
	line       []byte // the beginning of the line so far
	lineTooBig bool   // the line is longer than what is kept of it
	head       headScan
	heads      []Head // not taken by NextHead yet
	complete   int    // requests whose last byte has been fed
}

// headScan is what is known of a head that is being scanned.
type headScan struct {
	hasRequestLine bool
	http10         bool
	ambiguous      bool
	chunked        bool
	length         string // as the client wrote it; "" for none
	lastIsFraming  bool   // the last header was one of framing: a folded line would continue it
}

// NextHead returns what the next head says, in the order in which heads came. It returns false where none has
// been recognised: an implementation that reads one all the same reads it differently.
func (s *Scanner) NextHead() (Head, bool) {
	if len(s.heads) == 0 {
		return Head{}, false
	}
	h := s.heads[0]
	s.heads = s.heads[:copy(s.heads, s.heads[1:])]
	return h, true
}

// CompleteRequests counts the requests whose last byte has been fed.
func (s *Scanner) CompleteRequests() int { return s.complete }

// BetweenRequests reports whether the last byte fed was the last of a request, or none has been fed.
func (s *Scanner) BetweenRequests() bool {
	return s.state == inHead && !s.head.hasRequestLine && len(s.line) == 0
}

// InHead reports whether a head has begun and not ended.
func (s *Scanner) InHead() bool {
	return s.state == inHead && (s.head.hasRequestLine || len(s.line) > 0)
}

// Feed takes the bytes that came next.
func (s *Scanner) Feed(p []byte) {
	for len(p) > 0 {
		switch s.state {
		case lost:
			return
		case inBody, inChunk:
			p = s.feedBody(p)
		default:
			p = s.feedLine(p)
		}
	}
}

// feedBody takes bytes of a body or chunk, and returns what follows it.
func (s *Scanner) feedBody(p []byte) []byte {
	n := min(uint64(len(p)), s.bytesLeft)
	s.bytesLeft -= n
	if s.bytesLeft == 0 {
		if s.state == inBody {
			s.endRequest()
		} else {
			s.state = inChunkEnd
		}
	}
	return p[n:]
}

// feedLine takes bytes of a line, and returns what follows it.
func (s *Scanner) feedLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		s.appendLine(p)
		return nil
	}
	s.appendLine(p[:end])
	s.endLine()
	s.line, s.lineTooBig = s.line[:0], false
	return p[end+1:]
}

// appendLine keeps bytes of a line, as far as lines are kept.
func (s *Scanner) appendLine(p []byte) {
	if free := maxLineBytes - len(s.line); len(p) > free {
		s.lineTooBig = true
		p = p[:free]
	}
	s.line = append(s.line, p...)
}

// endLine interprets a complete line.
func (s *Scanner) endLine() {
	line := string(bytes.TrimSuffix(s.line, []byte{'\r'}))
	switch s.state {
	case inHead:
		s.endHeadLine(line)
	case inChunkSize:
		s.endChunkSize(line)
	case inChunkEnd:
		if s.state = inChunkSize; line != "" {
			s.state = lost
		}
	case inTrailer:
		if line == "" {
			s.endRequest()
		}
	}
}

// endChunkSize interprets the line ahead of a chunk.
func (s *Scanner) endChunkSize(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 63)
	switch {
	case err != nil:
		s.state = lost
	case n == 0:
		s.state = inTrailer
	default:
		s.state, s.bytesLeft = inChunk, n
	}
}

// endHeadLine interprets a line of a head.
func (s *Scanner) endHeadLine(line string) {
	h := &s.head
	switch {
	case !h.hasRequestLine:
		h.hasRequestLine = true
		// The end of a request line that is longer than what is kept is not known. Its version then shows
		// in the verdict of net/http alone.
		h.http10 = strings.HasSuffix(line, "HTTP/1.0")
	case line == "":
		s.endHead()
	case line[0] == ' ' || line[0] == '\t':
		h.ambiguous = h.ambiguous || h.lastIsFraming
	default:
		h.addHeader(line, s.lineTooBig)
	}
}

// addHeader interprets a header line; it may be cut short.
func (h *headScan) addHeader(line string, tooBig bool) {
	h.lastIsFraming = false
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return
	}
	name, value = strings.TrimRight(name, " \t"), strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		h.lastIsFraming = true
		differs := h.length != "" && h.length != value
		h.ambiguous = h.ambiguous || tooBig || differs || value == ""
		h.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.lastIsFraming = true
		h.ambiguous = h.ambiguous || tooBig || h.chunked || !strings.EqualFold(value, "chunked")
		h.chunked = true
	}
}

// endHead decides how the body of a complete head is framed.
func (s *Scanner) endHead() {
	h := s.head
	s.head = headScan{}
	n, err := uint64(0), error(nil)
	if h.length != "" {
		n, err = strconv.ParseUint(h.length, 10, 63)
	}
	ambiguous := h.ambiguous || h.chunked && (h.length != "" || h.http10)
	switch {
	case len(s.heads) >= maxHeads || err != nil:
		s.state = lost
	case h.chunked && !h.http10:
		s.state = inChunkSize
	case n > 0:
		s.state, s.bytesLeft = inBody, n
	default:
		s.complete++
	}
	s.heads = append(s.heads, Head{Ambiguous: ambiguous || s.state == lost})
}

// endRequest notes that a request's last byte has been fed.
func (s *Scanner) endRequest() {
	s.state = inHead
	s.complete++
}
