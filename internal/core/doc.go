// Package core carries requests from their arrival to their one final answer, whatever protocol they
// arrive and leave by.
//
// A front end (internal/httpserver) hands a Pool its requests; an Upstream (internal/httpclient) carries
// the attempts to servers. Between them a Pool owns one decide.Balancer, which decides which server is
// tried, whether an attempt is repeated or hedged, and what is rejected. The Balancer is a pure state
// machine: a Pool feeds it events (arrival, outcome, timer, endpoint update) and is the decide.Effects
// that it calls.
//
// A Pool guarantees:
//   - one final answer for each request, and one outcome for each attempt;
//   - no attempt is written that must not be: mayBegin decides that in one place, once the attempt has
//     its connection and nothing has been written;
//   - a request that must not run twice is not written again behind an attempt that may have run.
//
// Concurrency: every event enters through Pool.handle, which takes Pool.mu; endpoint lists are applied
// one at a time under Pool.endpointMu, which is taken first. Effects that
// block or call out (sending, cancelling, logging) are queued and run once the lock is free. Each attempt
// has one goroutine, started by effects.Send; it ends soon after the attempt's context does, and reports
// its outcome through Pool.finishAttempt. Once a retired pool's last attempt has ended, its drained
// channel is closed: that is how its owner waits for these goroutines.
package core
