// Package consensus implements the cluster that the instances of an installation share: voters replicate a
// log by the Raft protocol, and clients call the voters. Package fsm is the state machine that executes the
// commands of the log.
//
// # Parts
//
//   - Voter runs github.com/hashicorp/raft with a log in a bbolt file, and serves the calls of clients. Raft
//     and the calls share one address; listener distinguishes them by the TLS application protocol (ALPN).
//   - Client sends commands and reads to the voters, and finds the leader among them.
//   - HeldLease acquires and renews one lease through a client.
//   - Instance is a client whose process is registered by a lease. It also runs a voter if it has a directory
//     for one.
//
// # Calls
//
// A call is an HTTP POST with a JSON body. Only the leader executes commands and linearizable reads; a
// follower responds with status 421 and the leader's address. A client retries until its context is done. It
// sends each command with a session and a number, so that the state machine executes it at most once.
//
// A read is linearizable, by Raft's ReadIndex: the leader records its commit index, confirms with a majority
// that it is still the leader, and responds once it has applied the log up to that index.
//
// # Time
//
// The leader stamps each command with the time since its previous command. A log entry stores the term in which
// this time was measured. If raft appended the entry in another term, the entry does not advance the cluster
// clock. So no period is counted twice, and leases do not expire early.
//
// # Ownership
//
// A Voter owns its raft instance, stores, listener and goroutines. Close stops them and waits for them, except for
// the listener's accept loop and handshakes, which return within handshakeTimeout after the listener is closed. A
// HeldLease owns one goroutine, which Release stops. An Instance owns its client, lease and voter.
package consensus
