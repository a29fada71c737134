package httpserver

import (
	"sync"
	"time"

	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
)

const (
	// minBlockedWrite is how long a client must have accepted no bytes for its answer to be broken off in favor of
	// another one.
	minBlockedWrite = 250 * time.Millisecond
	// maxStreamWait is how long an answer waits for its place, and streamWaitStep the time between two searches for
	// one whose client accepts nothing. An answer must not be held back for 2 s.
	maxStreamWait  = 1500 * time.Millisecond
	streamWaitStep = 50 * time.Millisecond
	// maxStreamWaiters is how many answers may wait: each occupies a connection to a server.
	maxStreamWaiters = 8
)

// answerStreams are the answers that are being forwarded as they arrive. If their memory or their connections to
// servers are all in use, a new one takes the place of the one whose client has accepted nothing for the longest time,
// or waits for the end of another one.
type answerStreams struct {
	memory    *requestMemory
	admission *metrics.Admission

	mu      sync.Mutex
	conns   map[*clientConn]bool
	waiting int
}

// begin admits an answer to a connection, and may wait for its room until the client's deadline. It returns false if
// there is none; otherwise end must be called.
func (a *answerStreams) begin(conn *clientConn, deadline time.Time) bool {
	if !a.memory.take(limit.DownloadNeed) && !a.await(conn, deadline) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[conn] = true
	return true
}

// await waits for the place of another answer, until the client's deadline at the latest.
func (a *answerStreams) await(conn *clientConn, deadline time.Time) bool {
	if !a.addWaiter(1) {
		return false
	}
	defer a.addWaiter(-1)
	wait := min(maxStreamWait, time.Until(deadline))
	for end := time.Now().Add(wait); time.Now().Before(end) && !a.memory.isEnding(); {
		if slowest := a.takeSlowest(); slowest != nil {
			a.admission.AnswersBrokenOff.Add(1)
			slowest.reset() // its client can tell that its answer is not whole
		}
		if a.memory.acquire(limit.DownloadNeed, min(streamWaitStep, time.Until(end)), conn.ended) {
			return true
		}
	}
	return false
}

// addWaiter adds n to the number of waiting answers, unless too many wait.
func (a *answerStreams) addWaiter(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 && a.waiting >= maxStreamWaiters {
		return false
	}
	a.waiting += n
	return true
}

// end releases what begin has taken.
func (a *answerStreams) end(conn *clientConn) {
	a.mu.Lock()
	delete(a.conns, conn)
	a.mu.Unlock()
	a.memory.release(limit.DownloadNeed)
}

// takeSlowest removes and returns the connection whose client has accepted no bytes for the longest time, if that is
// minBlockedWrite at least, or nil.
func (a *answerStreams) takeSlowest() (slowest *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	longest := minBlockedWrite
	for conn := range a.conns {
		if blocked := conn.blockedWrite(); blocked >= longest {
			slowest, longest = conn, blocked
		}
	}
	delete(a.conns, slowest)
	return slowest
}
