// Package fsm is the replicated state machine of a cluster's voters: leases with fencing tokens, a
// small key-value table with compare-and-set, the events of both, and the configuration of all nodes.
//
// # Commands and results
//
// A State performs no I/O, reads no clock and draws no random numbers. Package consensus drives it:
// each committed entry of the raft log is one Command, Apply executes it and returns its Result, and
// readers use the accessors. Two replicas that apply the same commands in the same order return the
// same results and have the same state: their Snapshots are equal, byte for byte.
//
// # Time
//
// The cluster clock is the sum of the Elapsed fields of all commands. A leader measures Elapsed on its
// monotonic clock, so a step of a wall clock does not affect the cluster clock. The cluster clock stops
// while there is no leader. It never runs ahead of real time, so a lease never expires early. A lease
// expires when the first command at or after its deadline is applied. The leader appends Tick commands
// so that leases also expire while there are no other commands.
//
// # Leases
//
// Acquire grants a lease that is free, or extends it for its holder. Renew extends and Release ends a
// lease that is still held under the given fencing token. Every grant has a greater token than all
// earlier grants of any lease. Holder is the client side of a lease: it measures the TTL from before the
// request was sent and stops a margin early, so it stops before the lease expires on the cluster clock
// and can be granted to another holder. A holder whose process was paused past the deadline may still
// act under its old token; the protected resource must reject that token.
//
// # Retries
//
// A client that did not receive a result sends the command again with the same session and number. The
// state stores the number and result of each session's last command. A command with the same number
// returns the stored result and is not executed again; one with a lower number is rejected with
// ErrStale.
//
// # Events
//
// Each change of a lease or an entry has a revision and an Event. A limited number of events is retained; a
// watcher that requests events from before the compacted revision must read the whole state instead.
// Renewals cause no events, nor do changes of the configuration, which has its own versions.
//
// # Invariants
//
//   - Fencing tokens and revisions only grow, also across RestoreBackup.
//   - A lease has one holder until it is released or its deadline on the cluster clock has passed.
//   - An entry changes only if it is at the revision in the command.
//   - A command of a session is executed at most once.
//   - The size of a state stays within the bounds of this package for any input.
package fsm
