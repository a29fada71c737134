// Package idempotency decides about requests with an Idempotency-Key: which request runs, which repeats
// wait for its answer, what a repeat gets, and how long that is remembered. It is pure: a Store is a state
// machine that is fed events with their times, and returns what follows. Package idempotency/store gives it
// a clock, a lock and a file; package idempotency/ownership shares keys among several nodes.
//
// # The life of a key
//
// The first request under a key runs. Until its run has ended repeats wait for it, or get an error at once
// where their class says so. The run ends in one of three ways (Outcome):
//
//   - Answered: a repeat gets the same answer for as long as the class retains it.
//   - MayHaveRun: the request failed and may have had its effect. A repeat gets that failure, as long.
//   - NeverRan: nothing is remembered. The first repeat that waits runs, and the others wait for it.
//
// A request is identified by its Digest of method, target and body. Another request under the same key is
// a Mismatch. Where a body streams its digest is known with its last byte; repeats wait until then.
//
// # Limits
//
// Keys and bytes are bounded, in all and for each tenant. What runs is never forgotten, and what was
// answered is not forgotten before its time to make room: a repeat would then run a second time. So a full
// store accepts no new key. Only the body of an answer may be dropped for want of room.
package idempotency
