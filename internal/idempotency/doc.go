// Package idempotency decides how to handle requests with an Idempotency-Key: which request runs, which repeats
// wait for its answer, which answer a repeat receives, and how long that answer is retained. It performs no
// I/O: a Store is a state machine whose methods receive events with their times and return the resulting
// decisions. Package idempotency/store adds a clock, a lock and a file; package idempotency/ownership
// distributes keys among several nodes.
//
// # Lifecycle of a key
//
// The first request under a key runs. Until its run ends, repeats wait for it, or are rejected at once if their
// class sets RejectConcurrent. The run ends with one of three outcomes (Outcome):
//
//   - Answered: repeats receive the same answer until the retention of the class ends.
//   - MayHaveRun: the request failed and may have taken effect. Repeats receive that failure until the
//     retention of the class ends.
//   - NeverRan: nothing is retained. The first waiting repeat runs, and the others wait for it.
//
// A request is identified by its Digest of method, target and body. A different request under the same key is a
// Mismatch. The digest of a streaming body is unknown until its last byte has arrived; repeats wait until then.
//
// # Limits
//
// The number and size of keys are limited, in total and for each tenant. The store never evicts a key that is
// running, and never evicts an answered key before its retention ends: a repeat would then run a second time.
// So a store at capacity accepts no new key. Only the body of an answer may be dropped for lack of room.
package idempotency
