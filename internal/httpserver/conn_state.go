package httpserver

import "jasperpin/internal/httpframing"

// connPhase is what a client has sent on its connection since its last answer.
type connPhase uint8

// The phases of a connection. A connection may be closed to make room for another one before phaseActive.
const (
	phaseSilent  connPhase = iota // it has received no byte
	phasePartial                  // it has received a part of a request, in one read
	phaseSending                  // it has received a part of a request, in several reads
	phaseIdle                     // it is between requests
	phaseActive                   // it owes an answer
	phaseClosed                   // nothing more is read from it
)

// connState is the only record of what has been read on a client's connection and of what is owed on it. All bytes
// that are read pass through recordRead, and each close through close. Both are called with the lock of the
// connection, under which its socket is read as well: a request is either read and then answered, or stays unread for
// good. The package's other types ask connState and store nothing of this themselves. It does no I/O. The zero value
// is the state of a new connection.
type connState struct {
	framing   httpframing.Scanner
	reads     int  // number of reads that returned bytes of the request being read
	answered  int  // number of requests that were answered on a connection that stayed open
	answering bool // the request being read is answered, even if its body is still arriving
	wrote     bool // bytes of an answer have been written since the connection was last idle
	closed    bool
}

// phase returns the phase of the connection.
func (s *connState) phase() connPhase {
	switch {
	case s.closed:
		return phaseClosed
	case s.owesAnswer():
		return phaseActive
	case s.reads == 0 && s.answered > 0:
		return phaseIdle
	case s.reads == 0:
		return phaseSilent
	case s.reads == 1:
		return phasePartial
	default:
		return phaseSending
	}
}

// recordRead records bytes that have been read. It must not be called after close.
func (s *connState) recordRead(p []byte) {
	s.framing.Feed(p)
	s.reads++
}

// hasCompleteRequest reports whether a complete request has been read that has not been answered.
func (s *connState) hasCompleteRequest() bool { return s.framing.CompleteRequests() > s.answered }

// hasNextRequest reports whether a complete request has been read behind the one that is being answered.
func (s *connState) hasNextRequest() bool { return s.framing.CompleteRequests() > s.answered+1 }

// isPipelined reports whether bytes have been read behind a complete request that has not been answered.
func (s *connState) isPipelined() bool {
	return s.hasNextRequest() || s.hasCompleteRequest() && !s.framing.BetweenRequests()
}

// owesAnswer reports whether a request must be answered before the connection may be closed.
func (s *connState) owesAnswer() bool { return s.answering || s.hasCompleteRequest() }

// beginAnswer records that the request being read will be answered, although its body may still be arriving. It
// returns false if the connection is closed: the request must not run.
func (s *connState) beginAnswer() bool {
	s.answering = !s.closed
	return s.answering
}

// endAnswer records that a request has been answered, and that the connection stays open.
func (s *connState) endAnswer() {
	s.answered++
	s.answering, s.wrote = false, false
	s.reads = 0
	if !s.framing.BetweenRequests() {
		s.reads = 1 // a part of the next request was read with the one just answered
	}
}

// close ends the reading for good. It returns false if the connection was closed before.
func (s *connState) close() bool {
	first := !s.closed
	s.closed = true
	return first
}
