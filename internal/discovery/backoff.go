package discovery

import (
	"context"
	"time"

	"jasperpin/decide"
)

// Timeouts of calls, and intervals between them. A node must learn of a change at most 6 s (decide's maxListDelay)
// after discovery has the change and is reachable, and of a change
// hidden by a silent watch at most 2 s after watchWait.
const (
	// watchWait is how long a watch asks discovery to delay its answer. It limits how long a silent watch stays
	// undetected: a rolling release takes only a few seconds, and a node that misses its changes sends requests to
	// servers that are gone. A short wait would be harmful if a call that continues a watch cost the discovery
	// service as much as a new one.
	watchWait = 3 * time.Second
	// answerGrace is how much later than watchWait an answer may begin before the watch counts as silent.
	answerGrace = time.Second
	// maxBodyPause is how long an answer that has begun may pause, and maxBodyTime its maximum total time: half of
	// decide's maxListDelay (6 s).
	maxBodyPause = time.Second
	maxBodyTime  = 3 * time.Second
	// maxDialTime is the timeout for connecting to discovery.
	maxDialTime = time.Second
	// minCallInterval limits the rate of calls to a discovery service that answers at once without changes. It must
	// be less than the 200 ms for which discovery retains a watch between two calls.
	minCallInterval = 100 * time.Millisecond
	// maxCallInterval is the maximum interval between the beginnings of two calls, whatever ended the first one and
	// however long the Balancer's own backoff is. The next call must connect and be answered within decide's
	// maxListDelay (6 s) as well.
	maxCallInterval = 5 * time.Second
	// agentRetryDelay is the delay after a failed call to the agent of a push deployment. It is short, since calls
	// cost the agent nothing.
	agentRetryDelay = 200 * time.Millisecond
)

// awaitRetry waits until the next call after a failed one is due; no other function decides when that is. stalls is the
// number of consecutive calls that stalled. It returns false if ctx is done first.
//
//   - After a single stall the next call is made at once, and the Balancer is not notified: the node must soon learn
//     of the changes that the silent watch hid, and the Balancer would back off as after a failure. A second
//     consecutive stall is a failure like any other.
//   - Where discovery is polled, the Balancer is notified. The next call is made on the Balancer's request, or
//     maxCallInterval after the failed call began, whichever is first: the Balancer's backoff spreads the calls of
//     many nodes.
//   - The agent of a push deployment is called again after agentRetryDelay, or on a request.
func (w *Watcher) awaitRetry(ctx context.Context, began time.Time, stalls int) bool {
	if stalls == 1 {
		return true
	}
	delay := agentRetryDelay
	if w.poll {
		w.apply(decide.UpdateFailed, nil)
		delay = maxCallInterval - time.Since(began)
	}
	return w.awaitRequest(ctx, time.After(delay))
}

// awaitRequest waits for a request to watch, or for a value on the channel until. It returns false if ctx is done
// first.
func (w *Watcher) awaitRequest(ctx context.Context, until <-chan time.Time) bool {
	select {
	case <-w.watchRequests:
	case <-until:
	case <-ctx.Done():
		return false
	}
	return true
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
