package httpserver

import "time"

// wokenAfter is how long a read must have lasted for its bytes to count as having woken it: one that
// found them in the socket returns sooner.
const wokenAfter = time.Millisecond

// arrivalTimes estimates when the bytes of the requests on one connection arrived in this machine's
// kernel. A client's time-out runs from there, not from when the process came to read them. An
// estimate errs to the early side: a deadline that is too early is kept, one too late is not.
type arrivalTimes struct {
	latest          time.Time // not after the moment at which the bytes read last arrived
	earliest        time.Time // what has not been read yet arrived later
	requestStart    time.Time // not after the first byte of the request being read, or the connect
	requestComplete time.Time // not after the last byte of the request being handled
	reads           int       // reads that brought bytes
	readsHandled    int       // of them, those that belong to requests handled so far
}

// start sets the clock to the moment at which the connection was made.
func (a *arrivalTimes) start(connected time.Time) {
	a.latest, a.earliest, a.requestStart = connected, connected, connected
}

// note takes account of a read that brought bytes. It began at readBegan, and ends now; quiet is for how
// long the kernel has received nothing on the connection.
func (a *arrivalTimes) note(readBegan, now time.Time, quiet time.Duration) {
	if now.Sub(readBegan) > wokenAfter {
		a.latest = now
	} else {
		// The read found the bytes: they arrived at some time since the read before.
		a.latest = a.earliest
	}
	// A process that was stopped during the read finds old bytes, though its read seems to have waited.
	if received := now.Add(-quiet); received.Before(a.latest) {
		a.latest = received
		if received.Before(a.earliest) {
			a.latest = a.earliest
		}
	}
	if a.reads == a.readsHandled && a.reads > 0 {
		a.requestStart = a.latest
	}
	a.earliest = now
	a.reads++
}

// beginRequest returns when the request just read was complete. Each call must be followed by endRequest.
func (a *arrivalTimes) beginRequest() time.Time {
	if a.reads > a.readsHandled {
		a.requestComplete = a.latest
	} // else it came in the same read as the request before
	a.readsHandled = a.reads
	return a.requestComplete
}

// endRequest notes that the request has been answered now: what has not been read of the next one
// arrives later.
func (a *arrivalTimes) endRequest(now time.Time) {
	if a.reads == a.readsHandled {
		a.earliest = now
		return
	}
	a.earliest = a.latest // pipelined: the next request's first byte was read meanwhile
	a.readsHandled = a.reads
}
