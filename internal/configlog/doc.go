// Package configlog implements the replicated configuration of a fleet: named records, a totally ordered log of
// changes, and the protocol by which followers that lag catch up.
//
// # Messages in, actions out
//
// The package is pure: no type performs I/O or reads a clock, and random numbers are drawn only from a seed. The
// cluster's voters execute proposals in the order of their raft log (State.Propose), and all of them get the same
// results. Relays and nodes apply the committed changes (State.Apply), one version after another. Package configsync
// performs the I/O. On the follower's end it passes received messages to a Follower and executes the actions that
// Follower.Ready returns. On the relay's end a Progress returns the next message to send. Times are offsets on the
// driver's own monotonic clock.
//
// # Versions and digests
//
// Each change has a version. Versions start at 1 and have no gaps. The digest of a state covers its version, a hash
// tree over its records, and a hash chain over all earlier changes. Two states with the same records and different
// histories therefore have different digests. A change carries the digest of the state after the change, so that a
// state that applies it verifies its whole content. A change or snapshot whose digest does not match is never applied.
//
// # Conflicts
//
// A proposal names the version that it is based on. It is rejected with ErrConflict if a record that it touches has
// changed since that version, or the parent of such a record, or a child of a record that it deletes. The log retains
// a limited number of changes to detect conflicts, for rollbacks (State.Revert), and for followers that lag slightly.
//
// # Followers and relays
//
// A Follower has one current stream, to the relay that it prefers. It sends Resume with its version. The relay answers
// with the later Changes or, if its log no longer retains them, with a snapshot in chunks. With each new version, and
// at least every HeartbeatInterval, the relay sends a Heartbeat with its version, digest and age. The age is the time
// since that version was certainly the newest. The follower computes its own age from it.
//
// A follower closes a stream that is silent, that does not make the progress that its heartbeats announce, or whose
// digest does not match, and dials another relay. While the current relay is stale, the follower keeps it and probes
// other relays in parallel. The rules are in selection.go (which relay to dial and to follow), closing.go (when to
// close a stream, and how long to back off) and divergence.go (when the follower's own state has diverged). Their
// timeouts are in timeouts.go.
//
// # Invariants
//
//   - The configuration that a follower applies is always one complete version that the voters committed.
//   - A follower's version never decreases, except after its copy on disk was damaged.
//   - After an error a State is unchanged.
//   - A relay uses no memory for messages that it has yet to send on a stream.
//   - Messages from a peer cannot make a state or a decoder use more memory than the bounds.
package configlog
