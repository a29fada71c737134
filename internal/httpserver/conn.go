package httpserver

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jasperpin/internal/httpframing"
	"jasperpin/internal/limit"
)

const (
	// writeStallTimeout is how long a client may accept no bytes of an answer: slow networks pause for seconds,
	// and a client that accepts nothing must not occupy its buffers forever.
	writeStallTimeout = 20 * time.Second
	// writeChunkBytes is the maximum that one write deadline covers, so that a long answer to a slow client is
	// limited by the length of the client's pauses and not by the length of the answer.
	writeChunkBytes = 32 << 10
	// lingerTimeout is how long a client has to read its answer before a connection with unread bytes is
	// closed. Closing a socket with unread bytes sends a reset, and the client then discards an answer that it
	// has not read.
	lingerTimeout = 500 * time.Millisecond
	// maxQueueWait limits the time in the accept queue that is derived from the kernel's figure, so that a
	// wrong figure cannot date a request far back.
	maxQueueWait = 10 * time.Second
	// minReadTime is the minimum read timeout of a connection that has waited in the accept queue for longer
	// than readHeaderTimeout.
	minReadTime = 100 * time.Millisecond
)

// pastDeadline ends reads immediately. net/http uses the same value to end its background read.
var pastDeadline = time.Unix(1, 0)

// errTooManyFields ends the reading of a head with more lines than httpframing.MaxFields, which net/http answers 400.
var errTooManyFields = errors.New("too many header fields")

// errNoMemory ends the reading of a request for whose head there is no memory, and which has been answered.
var errNoMemory = errors.New("no memory for the head of a request")

// errNoDescriptor reports that a connection has no file descriptor, without which its disconnect cannot be
// detected.
var errNoDescriptor = errors.New("connection has no file descriptor")

// incompleteRequestAnswer is written to a client whose request is incomplete when the server stops reading.
// net/http has not read that request and cannot answer it.
const incompleteRequestAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// clientConn is a client's connection. It observes the bytes that net/http reads: where requests end, and when
// their last bytes arrived. It embeds net.Conn and not the concrete type, so that net/http does not find
// CloseWrite and half-close the connection itself.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn
	tracker *connTracker
	// readingStopped is set once, under mu. An incomplete request is not read any further.
	readingStopped atomic.Bool

	// The following fields are guarded by tracker.mu.
	element      *list.Element // in list; nil while the connection is in no list
	list         *list.List    // the tracker's list that contains element
	hasSlot      bool          // the connection occupies a slot
	served       bool          // a goroutine serves the connection, and endServing will be called
	lastActivity time.Time     // time of the last read of bytes or of the last complete answer

	ended chan struct{} // closed once the connection is closed
	// writeBegan is when the write in progress began, in Unix nanoseconds; 0 while there is none.
	writeBegan atomic.Int64

	readsWithoutWait int // number of reads in a row that found bytes; used by the reading goroutine only

	mu           sync.Mutex // held while the socket is read, so that reads and closes exclude each other
	state        connState
	arrival      arrivalTimes
	readDeadline time.Time         // as set by net/http
	headNeed     limit.RequestNeed // taken for the head being read
	headAdmitted bool              // the need of the head being read, or of the request being answered, was taken
	queueWait    time.Duration     // time in the accept queue
}

// newClientConn wraps an accepted connection. Its error wraps errNoDescriptor.
func newClientConn(nc net.Conn, tracker *connTracker) (*clientConn, error) {
	withDescriptor, ok := nc.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("accepting a connection of type %T: %w", nc, errNoDescriptor)
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("accepting a connection of type %T: %w: %w", nc, errNoDescriptor, err)
	}
	cc := &clientConn{Conn: nc, raw: raw, tracker: tracker, ended: make(chan struct{})}
	cc.state.framing.Field = headerDeadline
	return cc, nil
}

// startArrivalTimes initializes the arrival times and returns the time of the connect, which may be earlier
// than now: the connection, with a complete request, may have waited in the accept queue.
func (cc *clientConn) startArrivalTimes(now time.Time) time.Time {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	quiet, _ := cc.sinceLastReceived()
	cc.queueWait = min(quiet, maxQueueWait)
	connected := now.Add(-cc.queueWait)
	cc.arrival.start(connected)
	return connected
}

// addToList appends the connection to one of the tracker's lists. The caller holds tracker.mu.
func (cc *clientConn) addToList(l *list.List) {
	cc.removeFromList()
	cc.list = l
	cc.element = l.PushBack(cc)
}

// removeFromList removes the connection from its list, if it is in one. The caller holds tracker.mu.
func (cc *clientConn) removeFromList() {
	if cc.element != nil {
		cc.list.Remove(cc.element)
		cc.element = nil
	}
}

// Read implements net.Conn for net/http. While a handler runs, net/http reads one byte to detect a disconnect;
// that read waits for the disconnect and consumes nothing.
func (cc *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && cc.hasCompleteRequest() {
		return 0, cc.awaitDisconnect()
	}
	n, err := cc.readAndRecord(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && cc.readingStopped.Load() {
		cc.answerIncompleteRequest()
	}
	return n, err
}

// readAndRecord reads available bytes, or waits for them. Bytes are read from the socket and recorded under the
// lock under which the connection is closed: a request is either read before the close, which it then prevents, or
// not read at all.
func (cc *clientConn) readAndRecord(buf []byte) (n int, err error) {
	began := time.Now()
	wasActive, tooManyFields, longHead, waited := false, false, false, false
	var readErr error
	err = cc.raw.Read(func(fd uintptr) bool {
		cc.mu.Lock()
		defer cc.mu.Unlock()
		if cc.state.closed {
			readErr = net.ErrClosed
			return true
		}
		attempted := time.Now()
		if n, readErr = readRetryingEINTR(fd, buf); n > 0 {
			wasActive = cc.state.owesAnswer()
			cc.recordRead(buf, n, began, attempted)
			tooManyFields = cc.state.framing.HasTooManyFields()
			longHead = cc.needsHeadMemory()
		}
		if readErr == syscall.EAGAIN { //nolint:errorlint // a bare errno of a system call
			waited = true
			return false
		}
		return true
	})
	if n > 0 && !wasActive {
		cc.tracker.update(cc)
	}
	cc.yieldIfFlooding(waited)
	switch {
	case tooManyFields:
		return 0, errTooManyFields
	case longHead && !cc.admitHead():
		return 0, errNoMemory
	case err != nil: // the deadline has passed or the connection is closed
		return 0, err
	case errors.Is(readErr, net.ErrClosed):
		return 0, readErr
	case readErr != nil:
		return 0, &net.OpError{
			Op: "read", Net: cc.RemoteAddr().Network(), Source: cc.LocalAddr(), Addr: cc.RemoteAddr(),
			Err: os.NewSyscallError("read", readErr),
		}
	case n == 0 && len(buf) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// needsHeadMemory reports whether the head being read is longer than limit.SmallHead or has more than limit.SmallFields
// lines, and its memory has not been taken. The caller holds mu.
func (cc *clientConn) needsHeadMemory() bool {
	return cc.tracker.memory != nil && !cc.headAdmitted && cc.state.framing.HasLongHead(limit.SmallHead, limit.SmallFields)
}

// admitHead takes the memory for a long head before net/http parses it, and may wait for it. If there is none, it answers
// 503 and returns false: the connection must not be used any more.
func (cc *clientConn) admitHead() bool {
	cc.mu.Lock()
	clientTime := cc.headTime()
	cc.mu.Unlock()
	if !cc.tracker.memory.acquire(limit.LongHeadNeed, cc.tracker.memory.wait(clientTime), cc.ended) {
		cc.tracker.admission.HeadsRejected.Add(1)
		cc.answerUnread()
		return false
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.state.closed {
		cc.tracker.memory.release(limit.LongHeadNeed)
		return false
	}
	cc.headNeed, cc.headAdmitted = limit.LongHeadNeed, true
	return true
}

// takeHeadNeed returns what has been taken for the head that was read last. The caller has to release it.
func (cc *clientConn) takeHeadNeed() limit.RequestNeed {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	need := cc.headNeed
	cc.headNeed = limit.RequestNeed{}
	return need
}

// headTime returns how long the client of the head being read waits at least: its time has begun if the head is
// complete. The caller holds mu.
func (cc *clientConn) headTime() time.Duration {
	timeout, err := strconv.ParseInt(cc.state.framing.FieldValue(), 10, 64)
	if err != nil {
		return unknownClientTime
	}
	timeout = min(timeout, memoryWait.Milliseconds()) // the conversion might overflow otherwise
	return time.Until(cc.arrival.lastArrival.Add(time.Duration(timeout) * time.Millisecond))
}

// unreadSince returns the earliest time at which bytes that have not been read may have arrived.
func (cc *clientConn) unreadSince() time.Time {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.arrival.nextArrival
}

// releaseHead releases the memory for a long head that no request has taken over.
func (cc *clientConn) releaseHead() {
	if need := cc.takeHeadNeed(); need.Bytes > 0 {
		cc.tracker.memory.release(need)
	}
}

// blockedWrite returns for how long the client has accepted no bytes of the write in progress.
func (cc *clientConn) blockedWrite() time.Duration {
	began := cc.writeBegan.Load()
	if began == 0 {
		return 0
	}
	return time.Since(time.Unix(0, began))
}

// maxReadsWithoutWait is the number of reads in a row that may find bytes before the connection yields. The first
// read of a connection usually does.
const maxReadsWithoutWait = 2

// yieldIfFlooding lets other goroutines run first if the client sends as fast as it is read. The goroutine of its
// connection would never wait otherwise, and each step of every other request would wait for a time slice of it.
// Only the goroutine that reads the connection may call it.
func (cc *clientConn) yieldIfFlooding(waited bool) {
	if waited {
		cc.readsWithoutWait = 0
		return
	}
	if cc.readsWithoutWait++; cc.readsWithoutWait > maxReadsWithoutWait {
		runtime.Gosched()
	}
}

// recordRead records the n bytes that a read into buf has returned. The reader began to wait at began, and called read(2)
// at attempted. The caller holds mu.
func (cc *clientConn) recordRead(buf []byte, n int, began, attempted time.Time) {
	times := readTimes{began: began, attempted: attempted, ended: time.Now()}
	if quiet, ok := cc.sinceLastReceived(); ok {
		times.received = times.ended.Add(-quiet)
	}
	times.drained = n < len(buf) || cc.unreadBytes() == 0
	cc.state.recordRead(buf[:n])
	times.pipelined = cc.state.isPipelined()
	cc.arrival.recordRead(times)
}

// Write implements net.Conn. It limits the time for which a client accepts no bytes, not the total time of the
// write.
func (cc *clientConn) Write(p []byte) (int, error) {
	cc.mu.Lock()
	cc.state.wrote = true
	cc.mu.Unlock()
	written := 0
	defer cc.writeBegan.Store(0)
	for {
		began := time.Now()
		cc.writeBegan.Store(began.UnixNano())
		// Setting a deadline fails only on a closed connection, where Write returns the error.
		_ = cc.SetWriteDeadline(began.Add(writeStallTimeout))
		n, err := cc.Conn.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. The first deadline of a connection counts from the connect, not from the
// accept. Once reading has stopped, only a connection with a complete request retains its deadline.
func (cc *clientConn) SetReadDeadline(t time.Time) error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.arrival.reads == 0 && cc.queueWait > 0 && t.After(time.Now()) {
		t = t.Add(-cc.queueWait)
		if soonest := time.Now().Add(minReadTime); t.Before(soonest) {
			t = soonest
		}
	}
	cc.readDeadline = t
	if cc.readingStopped.Load() && !cc.state.hasCompleteRequest() {
		t = pastDeadline
	}
	return cc.Conn.SetReadDeadline(t)
}

// stopReading stops the reading of an incomplete request; a complete one is not affected.
func (cc *clientConn) stopReading() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.readingStopped.CompareAndSwap(false, true) && !cc.state.hasCompleteRequest() {
		_ = cc.Conn.SetReadDeadline(pastDeadline) // fails on a closed connection, where reads fail as well
	}
}

// answerIncompleteRequest answers 503 if at least one byte of a request's head has been read.
func (cc *clientConn) answerIncompleteRequest() {
	cc.mu.Lock()
	begun := cc.state.framing.InHead()
	cc.mu.Unlock()
	if begun {
		cc.answerUnread()
	}
}

// answerUnread answers 503 to a request that net/http has not read.
func (cc *clientConn) answerUnread() {
	_ = cc.SetDeadline(time.Now().Add(lingerTimeout)) // if setting the deadline fails, the write fails as well
	if _, err := io.WriteString(cc.Conn, incompleteRequestAnswer); err == nil {
		cc.linger()
	}
}

// linger shuts down the write side, and waits until the client has read the answer or until lingerTimeout.
// Closing a socket with unread bytes would reset the connection, and the client would lose its answer.
func (cc *clientConn) linger() {
	// The errors can be ignored: the connection is closed next in any case.
	_ = cc.SetDeadline(time.Now().Add(lingerTimeout))
	if half, ok := cc.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, cc.Conn, maxHeaderBytes+limit.MaxGuaranteedBody)
}

// endIncomplete ends the connection of a request that has been answered and not read to its end, with the panic that
// net/http provides for this purpose: net/http would wait for the client once more, and the connection could not be
// closed meanwhile. For a request that has been read to its end it does nothing.
func (cc *clientConn) endIncomplete(w http.ResponseWriter) {
	if cc.hasCompleteRequest() {
		return
	}
	if http.NewResponseController(w).Flush() == nil {
		cc.linger()
	}
	panic(http.ErrAbortHandler)
}

// stopAnswering records that a request has been answered whose body is not complete, and whose connection will be
// closed.
func (cc *clientConn) stopAnswering() {
	cc.mu.Lock()
	cc.state.answering = false
	cc.mu.Unlock()
	cc.tracker.update(cc)
}

// Close closes the connection. If the client has an answer to read and has sent bytes that were not read, Close first
// waits until the client has read that answer (linger). Without an answer the unread bytes stay unread, and the client
// gets a reset: it can send a request among them again. Close never fails.
func (cc *clientConn) Close() error {
	if cc.hasWritten() && cc.tracker.lingers() && cc.hasUnread() {
		cc.linger()
	}
	cc.tracker.close(cc)
	return nil
}

// reset closes the connection with a reset, whatever is owed on it.
func (cc *clientConn) reset() {
	// Fails only on a closed connection or a socket that is not TCP, which is closed in any case.
	_ = cc.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	cc.tracker.close(cc)
}

// hasWritten reports whether bytes of an answer have been written since the connection was last idle.
func (cc *clientConn) hasWritten() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.state.wrote && !cc.state.closed
}

// requestHasArrived reports whether the bytes in the socket may complete the request being read.
func (cc *clientConn) requestHasArrived() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.mayComplete()
}

// mayComplete reports whether bytes have arrived that may complete a request: any, unless more bytes of a body are
// missing. The caller holds mu.
func (cc *clientConn) mayComplete() bool {
	if missing := cc.state.framing.MissingBytes(); missing > 0 {
		return uint64(cc.unreadBytes()) >= missing
	}
	return cc.hasUnread()
}

// closeIfNothingOwed closes the connection for reading if no answer is owed on it and no bytes have arrived that may
// complete a request. It returns false, and changes nothing, if there are any or if the connection is already closed.
// The caller has to close the descriptor.
func (cc *clientConn) closeIfNothingOwed() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return !cc.state.owesAnswer() && !cc.mayComplete() && cc.state.close()
}

// closeIfIdle is closeIfNothingOwed for a connection that is also between requests.
func (cc *clientConn) closeIfIdle() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.state.phase() == phaseIdle && !cc.hasUnread() && cc.state.close()
}

// closeReading closes the connection for reading, whatever is owed on it. It returns false if the connection is
// already closed; otherwise the caller has to close the descriptor.
func (cc *clientConn) closeReading() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.state.close()
}

// resetAfterClose makes the kernel reset an idle connection once the client's machine has everything that was written and
// knows that the connection is closed. A request that arrives while the kernel closes the socket would otherwise be
// dropped in silence until its client's machine sends it again, and an end without a reset says that it was read.
func (cc *clientConn) resetAfterClose() {
	// Both fail only on a closed connection or a socket that is not TCP, which are closed in any case.
	_ = cc.raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_LINGER2, -1) })
}

// phase returns the phase of the connection.
func (cc *clientConn) phase() connPhase {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.state.phase()
}

// onConnState is the ConnState hook of http.Server. An answer ends here, and not when the handler returns: it may then
// still be in a buffer, and an eviction would lose it.
func onConnState(c net.Conn, state http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		cc.tracker.beginServing(cc)
	case http.StateIdle:
		cc.endAnswer()
	case http.StateClosed:
		cc.tracker.endServing(cc)
	}
}

// endAnswer records that the answer of a request has been written, and that the connection stays open.
func (cc *clientConn) endAnswer() {
	cc.mu.Lock()
	cc.state.endAnswer()
	cc.headAdmitted = false
	pipelined := cc.state.hasCompleteRequest()
	cc.mu.Unlock()
	cc.releaseHead()
	cc.tracker.update(cc)
	if pipelined {
		runtime.Gosched() // see yieldIfFlooding
	}
}

// nextHead returns the framing information of the head of the request being handled. It must be called exactly
// once for each request. It returns false if no head was recognised, although net/http read one.
func (cc *clientConn) nextHead() (h httpframing.Head, ok bool) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.state.framing.NextHead()
}

// beginRequest records that the request just read will be answered, and returns the arrival time of its last byte.
// It returns false if the connection was closed before: the request must not run. Otherwise the call must be followed
// by a call of endRequest.
func (cc *clientConn) beginRequest() (receivedAt time.Time, ok bool) {
	cc.mu.Lock()
	wasActive := cc.state.owesAnswer()
	ok = cc.state.beginAnswer()
	receivedAt = cc.arrival.beginRequest()
	cc.mu.Unlock()
	if !wasActive {
		cc.tracker.update(cc)
	}
	return receivedAt, ok
}

// endRequest records that the request has been answered.
func (cc *clientConn) endRequest() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.arrival.endRequest(time.Now())
}

// hasNextRequest reports whether a complete request has been read behind the one that is being answered.
func (cc *clientConn) hasNextRequest() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.state.hasNextRequest()
}

// sinceRequestStart returns the time since the first byte of the request being read arrived.
func (cc *clientConn) sinceRequestStart() time.Duration {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return time.Since(cc.arrival.requestStart)
}

type connKey struct{}

// contextWithConn is the ConnContext hook of http.Server, with which handlers find their connection.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFrom returns the connection of a request's context, or nil for a request of another server.
func connFrom(ctx context.Context) *clientConn {
	cc, _ := ctx.Value(connKey{}).(*clientConn)
	return cc
}
