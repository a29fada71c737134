// Package fsm is the replicated state machine of a cluster's voters: leases with fencing tokens, a
// small table with compare-and-set, the events of both, and the configuration that all nodes follow.
//
// # Messages in, results out
//
// A State performs no I/O, reads no clock and draws no random numbers. Package consensus drives it:
// each committed entry of the raft log is one Command, Apply executes it and returns its Result, and
// readers take what they need through the accessors. Two replicas that apply the same commands in
// the same order return the same results and hold the same state, byte for byte in Snapshot.
//
// # Time
//
// The cluster clock is the sum of the Elapsed fields of all commands. A leader measures them on its
// monotonic clock, so that no step of a wall clock moves the cluster clock, and it stands still while
// there is no leader. It never runs ahead of real time; a lease therefore never expires early.
// A lease expires within the first command at or after its deadline: Tick exists for times without
// other commands.
//
// # Leases
//
// Acquire grants a lease that is free, or extends it for its holder. Renew extends and Release
// ends a lease that is still held under the given fencing token. Every grant gets a token greater
// than that of all grants before, whatever their names. The holder's side is Holder: it counts
// from before it sent the request and stops early by a margin, so that it stops before the cluster
// clock lets the next holder in. Should its process be paused past the deadline, what the lease
// protects is to reject the old token.
//
// # Retries
//
// A client that lost a result sends the command again under the same session and number. The state
// stores the last command of each session with its result: the same number is answered from there
// and executed no second time, a lower one is rejected with ErrStale.
//
// # Events
//
// Each change of a lease or an entry has a revision and an Event. A limited number is retained; a watcher
// that asks for events from before the compacted revision reads the whole state instead. Renewals and
// the configuration, which has versions of its own, cause no events.
//
// # Invariants
//
//   - Fencing tokens and revisions only grow, also through RestoreBackup.
//   - A lease has one holder until it is released or its deadline on the cluster clock has passed.
//   - An entry changes only from the revision that the command names.
//   - A command of a session is executed at most once.
//   - What a state holds stays within the bounds of this package, whatever is sent.
package fsm
