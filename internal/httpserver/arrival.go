package httpserver

import "time"

// blockedReadTime is the minimum duration of a read that counts as having blocked until its bytes arrived. A
// read that finds bytes in the socket returns sooner.
const blockedReadTime = time.Millisecond

// arrivalTimes estimates when the bytes of the requests on one connection arrived in this machine's kernel. A
// client's timeout runs from the arrival, not from when the process read the bytes. Estimates err on the early
// side: a deadline that is too early is still met, one that is too late is not. The zero value is not usable;
// call start first.
type arrivalTimes struct {
	// Lower bounds of arrival times.
	lastArrival     time.Time // arrival of the bytes read last
	nextArrival     time.Time // arrival of bytes not read yet
	requestStart    time.Time // arrival of the first byte of the request being read, or the connect
	requestComplete time.Time // arrival of the last byte of the request being handled

	reads        int // reads that returned bytes
	readsHandled int // the part of reads that belongs to requests handled so far
}

// start initializes the times with the time of the connect.
func (a *arrivalTimes) start(connected time.Time) {
	a.lastArrival, a.nextArrival, a.requestStart = connected, connected, connected
}

// readTimes describes a read that returned bytes.
type readTimes struct {
	began     time.Time // when the reader began to wait for the bytes
	attempted time.Time // just before the read(2) that returned them
	ended     time.Time
	received  time.Time // when the kernel last received bytes of the connection; zero if it does not report that
	drained   bool      // no bytes were left in the socket
	pipelined bool      // the bytes belong to more than one request that has not been answered
}

// recordRead records a read.
func (a *arrivalTimes) recordRead(r readTimes) {
	estimate := a.nextArrival // the bytes were already in the socket: they arrived at some time after the previous read
	switch {
	case !r.received.IsZero() && r.drained && !r.pipelined: // the last byte read is the one received last
		estimate = r.received
	case r.ended.Sub(r.began) > blockedReadTime:
		estimate = r.ended
	}
	// However late a busy or stopped process reads or answers, the bytes are no younger than the kernel says.
	if !r.received.IsZero() && r.received.Before(estimate) {
		estimate = r.received
	}
	a.lastArrival = latest(a.lastArrival, estimate)
	if a.reads == a.readsHandled && a.reads > 0 {
		a.requestStart = a.lastArrival
	}
	a.nextArrival = r.attempted // what was not in the socket then
	if !r.drained {
		a.nextArrival = a.lastArrival
		if r.received.Before(r.attempted) {
			a.nextArrival = latest(a.lastArrival, r.received)
		}
	}
	a.reads++
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beginRequest returns the arrival time of the last byte of the request just read. Each call must be followed
// by a call of endRequest.
func (a *arrivalTimes) beginRequest() time.Time {
	if a.reads > a.readsHandled {
		a.requestComplete = a.lastArrival
	} // otherwise the request was read together with the previous one
	a.readsHandled = a.reads
	return a.requestComplete
}

// endRequest records that the request is answered now: unread bytes of the next request arrive later.
func (a *arrivalTimes) endRequest(now time.Time) {
	if a.reads == a.readsHandled {
		a.nextArrival = now
		return
	}
	a.nextArrival = a.lastArrival // pipelined: the first byte of the next request is already read
	a.readsHandled = a.reads
}
