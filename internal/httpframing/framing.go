// Package httpframing parses the framing of the requests that a client sends on a connection. It reports for
// each request whether its head frames the body unambiguously, and where the request ends. It protects against
// request smuggling: net/http accepts some heads that other HTTP implementations read differently, and does not
// report which. The package does no I/O, and its memory is bounded.
//
// A Scanner is a state machine over lines: the request line and headers of a head, then a body delimited by its
// length or by chunks, then the next head. After bytes that it cannot parse, a Scanner stops for good and
// recognises no further request.
package httpframing

import (
	"bytes"
	"strconv"
	"strings"
)

// Head is the framing information of a request's head.
type Head struct {
	// Ambiguous reports that two implementations may disagree about the end of the body: the head has both
	// framings, several lengths, a transfer coding other than chunked, a folded framing header, or chunks with
	// HTTP/1.0.
	Ambiguous bool
}

const (
	// maxLineBytes is how much of a line is stored: more than any framing header needs.
	maxLineBytes = 256
	// maxHeads limits the number of heads that NextHead has not returned yet: a reader's buffer holds only a
	// few heads.
	maxHeads = 256
	// MaxFields limits the number of lines of a head or trailer: each costs its reader far more memory than its bytes.
	MaxFields = 128
)

type state uint8

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	stopped // further bytes cannot be parsed
)

// Scanner parses the framing of the requests on one connection. The zero value is ready for the first byte of
// the first request. A Scanner is not safe for concurrent use.
type Scanner struct {
	// Field is the name of a header whose value FieldValue returns; empty for none. It must not be changed after the
	// first Feed.
	Field string

	fieldValue string
	state      state
	remaining  uint64 // remaining bytes of the body or chunk
	line       []byte // at most maxLineBytes of the current line
	lineTooBig bool   // the current line is longer than maxLineBytes
	head       headScan
	heads      []Head // not yet returned by NextHead
	complete   int    // number of requests whose last byte has been fed
	headBytes  int    // bytes of the head being parsed, or of the last one
	headFields int    // lines of it
}

// MissingBytes returns how many bytes at least are missing of the body being parsed; 0 if that is not known.
func (s *Scanner) MissingBytes() uint64 {
	if s.state == inBody || s.state == inChunk {
		return s.remaining
	}
	return 0
}

// HasLongHead reports whether the head or trailer being parsed, or the last one, has more bytes or lines than given.
func (s *Scanner) HasLongHead(bytes, fields int) bool {
	return s.headBytes > bytes || s.headFields > fields
}

// FieldValue returns the value of the header Field in the head being parsed, or in the last one. It is empty if the head
// has none, or none yet.
func (s *Scanner) FieldValue() string { return s.fieldValue }

// headScan is the state of a head that is being parsed.
type headScan struct {
	hasRequestLine bool
	fields         int // number of lines, with the request line
	http10         bool
	ambiguous      bool
	chunked        bool
	length         string // as sent by the client; "" for none
	lastIsFraming  bool   // the last header was a framing header, which a folded line would continue
}

// NextHead returns the heads one after the other, in the order in which they were fed. It returns false if no
// further head has been recognised; an implementation that nevertheless reads one parses the bytes differently.
func (s *Scanner) NextHead() (Head, bool) {
	if len(s.heads) == 0 {
		return Head{}, false
	}
	h := s.heads[0]
	s.heads = s.heads[:copy(s.heads, s.heads[1:])]
	return h, true
}

// CompleteRequests returns the number of requests whose last byte has been fed.
func (s *Scanner) CompleteRequests() int { return s.complete }

// BetweenRequests reports whether the last byte fed was the last one of a request, or no byte has been fed.
func (s *Scanner) BetweenRequests() bool {
	return s.state == inHead && !s.head.hasRequestLine && len(s.line) == 0
}

// InHead reports whether a head has begun and is not complete.
func (s *Scanner) InHead() bool {
	return s.state == inHead && (s.head.hasRequestLine || len(s.line) > 0)
}

// HasTooManyFields reports whether a head or trailer has more than MaxFields lines. The Scanner has then stopped.
func (s *Scanner) HasTooManyFields() bool { return s.head.fields > MaxFields }

// Feed parses the next bytes of the connection.
func (s *Scanner) Feed(p []byte) {
	for len(p) > 0 {
		switch s.state {
		case stopped:
			return
		case inBody, inChunk:
			p = s.feedBody(p)
		default:
			p = s.feedLine(p)
		}
	}
}

// feedBody consumes bytes of a body or chunk, and returns the bytes after it.
func (s *Scanner) feedBody(p []byte) []byte {
	n := min(uint64(len(p)), s.remaining)
	s.remaining -= n
	if s.remaining == 0 {
		if s.state == inBody {
			s.endRequest()
		} else {
			s.state = inChunkEnd
		}
	}
	return p[n:]
}

// feedLine consumes bytes of a line, and returns the bytes after it.
func (s *Scanner) feedLine(p []byte) []byte {
	if s.BetweenRequests() {
		s.headBytes, s.headFields, s.fieldValue = 0, 0, ""
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		s.headBytes += len(p)
		s.appendLine(p)
		return nil
	}
	s.headBytes += end + 1
	s.appendLine(p[:end])
	s.endLine()
	s.line, s.lineTooBig = s.line[:0], false
	return p[end+1:]
}

// appendLine stores bytes of a line, up to maxLineBytes.
func (s *Scanner) appendLine(p []byte) {
	if free := maxLineBytes - len(s.line); len(p) > free {
		s.lineTooBig = true
		p = p[:free]
	}
	s.line = append(s.line, p...)
}

// endLine parses a complete line.
func (s *Scanner) endLine() {
	if (s.state == inHead || s.state == inTrailer) && s.countField() > MaxFields {
		s.state = stopped
		return
	}
	line := string(bytes.TrimSuffix(s.line, []byte{'\r'}))
	switch s.state {
	case inHead:
		s.endHeadLine(line)
	case inChunkSize:
		s.endChunkSize(line)
	case inChunkEnd:
		if s.state = inChunkSize; line != "" {
			s.state = stopped
		}
	case inTrailer:
		if line == "" {
			s.endRequest()
		}
	}
}

// countField counts a line of a head or trailer, and returns the number of its lines.
func (s *Scanner) countField() int {
	s.head.fields++
	s.headFields = s.head.fields
	return s.head.fields
}

// endChunkSize parses the size line of a chunk.
func (s *Scanner) endChunkSize(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 63)
	switch {
	case err != nil:
		s.state = stopped
	case n == 0:
		s.state = inTrailer
	default:
		s.state, s.remaining = inChunk, n
	}
}

// endHeadLine parses a line of a head.
func (s *Scanner) endHeadLine(line string) {
	h := &s.head
	switch {
	case !h.hasRequestLine:
		h.hasRequestLine = true
		// The end of a request line that is longer than maxLineBytes is not known. In this case only net/http
		// checks the version.
		h.http10 = strings.HasSuffix(line, "HTTP/1.0")
	case line == "":
		s.endHead()
	case line[0] == ' ' || line[0] == '\t':
		h.ambiguous = h.ambiguous || h.lastIsFraming
	default:
		s.addHeader(line)
	}
}

// addHeader parses a header line, of which only the beginning is stored if lineTooBig is set.
func (s *Scanner) addHeader(line string) {
	head, tooBig := &s.head, s.lineTooBig
	head.lastIsFraming = false
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return
	}
	name, value = strings.TrimRight(name, " \t"), strings.Trim(value, " \t")
	switch {
	case s.Field != "" && strings.EqualFold(name, s.Field):
		s.fieldValue = value
	case strings.EqualFold(name, "Content-Length"):
		head.lastIsFraming = true
		differs := head.length != "" && head.length != value
		head.ambiguous = head.ambiguous || tooBig || differs || value == ""
		head.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		head.lastIsFraming = true
		head.ambiguous = head.ambiguous || tooBig || head.chunked || !strings.EqualFold(value, "chunked")
		head.chunked = true
	}
}

// endHead determines the framing of the body after a complete head.
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
		s.state = stopped
	case h.chunked && !h.http10:
		s.state = inChunkSize
	case n > 0:
		s.state, s.remaining = inBody, n
	default:
		s.complete++
	}
	s.heads = append(s.heads, Head{Ambiguous: ambiguous || s.state == stopped})
}

// endRequest records that the last byte of a request has been fed.
func (s *Scanner) endRequest() {
	s.state = inHead
	s.head = headScan{}
	s.complete++
}
