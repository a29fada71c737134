// Package consensus connects the instances of an installation to their cluster: voters keep a
// replicated log and clients call them. Package fsm decides what the log's commands do.
//
// # Parts
//
//   - Voter runs github.com/hashicorp/raft over a log in a bbolt file, and answers clients' calls. Raft
//     and the calls share one address: listener tells them apart by TLS's application protocol.
//   - Client sends commands and reads to the voters, and finds the leader among them.
//   - HeldLease acquires and renews one lease through a client.
//   - Instance is a client whose process is registered by a lease, with a voter where it has a
//     directory for one.
//
// # Calls
//
// A call is a POST of JSON. The leader alone executes commands and linearizable reads; another voter
// answers 421 and names the leader. A client retries until its context ends: commands carry a session
// and a number, under which the state machine executes them at most once.
//
// A read is linearizable as in raft's ReadIndex: the leader takes its commit index, confirms with a
// majority that it still leads, and answers once it has applied the log up to that index.
//
// # Time
//
// The leader stamps each command with the time since its command before. An entry carries the term
// in which that was measured; an entry that a later leader has in its log under another term counts
// no time. So no stretch of time counts twice, and leases expire no earlier than in real time.
//
// # Ownership
//
// A Voter owns its raft instance, stores, listener and goroutines; Close ends and awaits them, but for
// the listener's accept loop and handshakes, which end once the listener is closed, within
// handshakeTimeout. A HeldLease owns one goroutine, which Release ends. An Instance owns its client, lease
// and voter.
package consensus
