// Package core handles each request from its arrival to its one final answer, independent of the protocols
// of clients and servers.
//
// A front end (internal/httpserver) submits requests to a Pool; an Upstream (internal/httpclient) sends
// the attempts to servers. Between them a Pool owns one decide.Balancer, which chooses the server of each
// attempt, decides on retries and hedged requests, and rejects requests. The Balancer is a pure state
// machine: a Pool feeds it events (arrival, outcome, timer, endpoint update) and implements the
// decide.Effects that it calls.
//
// A Pool guarantees:
//   - one final answer for each request, and one outcome for each attempt;
//   - an attempt is written only if the rules still allow it: mayBegin checks them all in one place, once
//     the attempt has its connection and before anything is written;
//   - a request that must not run twice is not written again after an attempt that may have run.
//
// Concurrency: every event enters through Pool.handle, which locks Pool.mu; endpoint lists are applied
// one at a time under Pool.endpointMu, which is locked before Pool.mu. Effects that block or call other
// packages (sending, cancelling, logging) are queued and run after the unlock. Each attempt has one
// goroutine, started by effects.Send; the goroutine ends soon after the attempt's context is done, and
// reports the outcome through Pool.finishAttempt. Once a retired pool's last attempt has ended, the pool
// closes its drained channel: the pool's owner waits for these goroutines by that channel.
package core
