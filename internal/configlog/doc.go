// Package configlog is the replicated configuration of a fleet: named records, a log of changes in one order,
// and the protocol by which those that lag catch up.
//
// # Messages in, actions out
//
// All of it is pure: no type performs I/O, reads a clock, or draws random numbers but from a seed. The
// cluster's voters execute proposals in the order of their raft log (State.Propose), and all get the same
// results. Relays and nodes apply the changes that the voters made (State.Apply), one version after
// another. Package configsync drives the rest over connections: it passes what arrives to a Follower
// and executes the actions that Follower.Ready returns; on the other end a Progress says what to send next.
// Times are offsets on the driver's own monotonic clock.
//
// # Versions and digests
//
// Each change has a version, from 1 without gaps. The digest of a state covers its version, a hash tree over
// its records, and a hash chain over all changes before: the same records by another history have another
// digest. A change carries the digest of the state after it, so that a state that applies it verifies all it
// holds. What does not match is never in force.
//
// # Conflicts
//
// A proposal names the version that it is based on. It is rejected with ErrConflict where a record that it
// touches, the parent of one, or a child of one that it deletes, has changed since. The log retains a limited
// number of changes for that, for rollbacks (State.Revert) and for followers that lag a little.
//
// # Followers and relays
//
// A Follower has one current stream, to the relay that it prefers. It sends Resume with its version; the
// relay answers with Changes after that, or where its log has been compacted beyond it with a snapshot in
// chunks. With each new version and at least each HeartbeatInterval the relay sends a Heartbeat: its version
// and digest, and its age, which is how long ago these were certainly the newest. A follower computes its
// own age from that.
//
// A stream that is silent, without the progress that they promise, or with a digest that does not match is
// closed, and another relay is dialled. While the current relay is stale the follower keeps it and probes
// others in parallel. The rules are in selection.go (which relay to dial and to follow), closing.go (when to
// close a stream, and for how long to back off) and divergence.go (when the follower's own history is the
// odd one); their times are in timeouts.go.
//
// # Invariants
//
//   - What a follower has in force is one version that the voters made, whole.
//   - Its version never goes back, but for a damaged copy on disk.
//   - After an error a State is as it was.
//   - A stream costs a relay no memory for what it has still to send.
//   - What a peer sends makes a state or decoder use no more memory than the bounds.
package configlog
