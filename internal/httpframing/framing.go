// Package httpframing follows the bytes that a client sends and says of each request's head
// how it frames its body, beside a reader that does not tell. It is pure: bytes go in,
// verdicts come out, and it holds a bounded part of one line.
package httpframing

import (
	"bytes"
	"strconv"
	"strings"
)

// Head is what a request's head says of its framing.
type Head struct {
	// Unclear says that two readers may see the body's end at different places: both
	// framings, several lengths, a coding other than chunked, a folded line, or chunks
	// under HTTP/1.0.
	Unclear bool
}

// maxKept is how much of a line is kept: more than any framing header needs.
const maxKept = 256

// maxHeads bounds the verdicts that wait: a reader's buffer holds few more heads.
const maxHeads = 256

type state uint8

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	lost // what follows cannot be told apart any more
)

// Scanner follows the requests on one connection. The zero value stands at the first
// byte of the first one.
type Scanner struct {
	state state
	left  uint64 // bytes of the body or chunk still to come
	line  []byte // the start of the line so far
	long  bool   // it was longer than what is kept

	first   bool // the request line has come
	old     bool // HTTP/1.0
	unclear bool
	chunked bool
	length  string // as it stands; "" for none
	framing bool   // the last line was one of framing: a folded one would add to it
	heads   []Head
	whole   int // requests whose last byte has come
}

// Next gives the verdict on the next head, in the order in which they came. It says
// false where none has been told apart: who reads one all the same reads otherwise.
func (s *Scanner) Next() (Head, bool) {
	if len(s.heads) == 0 {
		return Head{}, false
	}
	h := s.heads[0]
	s.heads = s.heads[:copy(s.heads, s.heads[1:])]
	return h, true
}

// Whole counts the requests that have come to their last byte.
func (s *Scanner) Whole() int { return s.whole }

// Between says whether the last byte was a request's last, or none has come.
func (s *Scanner) Between() bool { return s.state == inHead && !s.first && len(s.line) == 0 }

// Begun says whether a head has begun and not ended.
func (s *Scanner) Begun() bool { return s.state == inHead && (s.first || len(s.line) > 0) }

// Feed takes the bytes that came next.
func (s *Scanner) Feed(p []byte) {
	for len(p) > 0 {
		switch s.state {
		case lost:
			return
		case inBody, inChunk:
			n := min(uint64(len(p)), s.left)
			p, s.left = p[n:], s.left-n
			if s.left == 0 {
				if s.state == inBody {
					s.state = inHead
					s.whole++
				} else {
					s.state = inChunkEnd
				}
			}
		default:
			end := bytes.IndexByte(p, '\n')
			piece := p
			if end >= 0 {
				piece = p[:end]
			}
			if room := maxKept - len(s.line); len(piece) > room {
				s.long = true
				piece = piece[:room]
			}
			s.line = append(s.line, piece...)
			if end < 0 {
				return
			}
			p = p[end+1:]
			s.ended()
			s.line, s.long = s.line[:0], false
		}
	}
}

// ended takes a line that has come to its end.
func (s *Scanner) ended() {
	line := string(bytes.TrimSuffix(s.line, []byte{'\r'}))
	switch s.state {
	case inHead:
		s.head(line)
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 63)
		switch {
		case err != nil:
			s.state = lost
		case n == 0:
			s.state = inTrailer
		default:
			s.state, s.left = inChunk, n
		}
	case inChunkEnd:
		if s.state = inChunkSize; line != "" {
			s.state = lost
		}
	case inTrailer:
		if line == "" {
			s.state = inHead
			s.whole++
		}
	}
}

// head takes one line of a head.
func (s *Scanner) head(line string) {
	switch {
	case !s.first:
		s.first = true
		// A request line may be longer than what is kept, and its version then shows in
		// nothing but the reader's own verdict.
		s.old = strings.HasSuffix(line, "HTTP/1.0")
		return
	case line == "":
		s.end()
		return
	case line[0] == ' ' || line[0] == '\t':
		s.unclear = s.unclear || s.framing
		return
	}
	name, value, ok := strings.Cut(line, ":")
	s.framing = false
	if !ok {
		return
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(strings.TrimRight(name, " \t"), "Content-Length"):
		s.framing = true
		s.unclear = s.unclear || s.long || s.length != "" && s.length != value || value == ""
		s.length = value
	case strings.EqualFold(strings.TrimRight(name, " \t"), "Transfer-Encoding"):
		s.framing = true
		s.unclear = s.unclear || s.long || s.chunked || !strings.EqualFold(value, "chunked")
		s.chunked = true
	}
}

// end takes the end of a head.
func (s *Scanner) end() {
	n, err := uint64(0), error(nil)
	if s.length != "" {
		n, err = strconv.ParseUint(s.length, 10, 63)
	}
	unclear := s.unclear || s.chunked && (s.length != "" || s.old)
	switch {
	case len(s.heads) >= maxHeads || err != nil:
		s.state = lost
	case s.chunked && !s.old:
		s.state = inChunkSize
	case n > 0:
		s.state, s.left = inBody, n
	default:
		s.whole++
	}
	s.heads = append(s.heads, Head{Unclear: unclear || s.state == lost})
	s.first, s.old, s.unclear, s.chunked, s.length, s.framing = false, false, false, false, "", false
}
