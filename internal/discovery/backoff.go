package discovery

import (
	"context"
	"time"

	"jasperpin/decide"
)

// How long calls take, and when the next one is made. A node must know of a change at the
// latest 6 s (decide's maxListDelay) after discovery has it and can be reached; of one hidden by a silent
// watch, 2 s after watchWait.
const (
	// watchWait is how long a watch asks discovery to hold its answer. It bounds how long a silent watch
	// goes unnoticed: a release takes its course in some seconds, and a node that misses it sends to
	// servers that have gone. It could do harm where a call that goes on with a watch costs discovery as
	// much as a new one.
	watchWait = 3 * time.Second
	// answerSlack is how much later than watchWait an answer may begin before the watch counts as silent.
	answerSlack = time.Second
	// maxBodyPause is how long an answer that has begun may pause, and maxBodyTime how long it may take in
	// all: half of decide's maxListDelay (6 s).
	maxBodyPause = time.Second
	maxBodyTime  = 3 * time.Second
	// maxDialTime is how long a connection may take to come up.
	maxDialTime = time.Second
	// minCallInterval keeps a discovery that answers at once with nothing new from being flooded. It must
	// stay under the 200 ms for which discovery keeps a watch between two calls.
	minCallInterval = 100 * time.Millisecond
	// maxCallInterval is the longest from one call's beginning to the next one's, whatever ended it and
	// however long the Balancer's own backoff is. The next call's connection and its answer must also
	// come within decide's maxListDelay (6 s).
	maxCallInterval = 5 * time.Second
	// agentRetryDelay is the pause after a failed call to the agent of a push deployment: the call costs
	// it nothing.
	agentRetryDelay = 200 * time.Millisecond
)

// awaitRetry is the one rule for when the next call is made after one that failed. Stalls is how many calls
// in a row have ended for want of progress. It returns false where ctx ended first.
//
//   - After a single stall the next call is made at once, and the Balancer not notified: what a silent watch
//     hid counts as known soon, and the Balancer would back off as after a failure. A second stall in a row is
//     a failure like any other.
//   - Where discovery is polled the Balancer is notified. Its request, or maxCallInterval since the failed call
//     began, brings the next call, whichever is first: its backoff spreads the calls of many nodes.
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

// awaitRequest waits for a request to watch, or until a moment if that is sooner. It returns false where ctx
// ended first.
func (w *Watcher) awaitRequest(ctx context.Context, until <-chan time.Time) bool {
	select {
	case <-w.watchRequests:
	case <-until:
	case <-ctx.Done():
		return false
	}
	return true
}

// sleep waits, and returns false where ctx ended first.
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
