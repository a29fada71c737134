// Package ownership distributes idempotency keys among several members, so that a repeat may arrive at a
// different member than the first request. No program uses it yet. It performs no I/O: its input is requests,
// messages and tables, and its output is messages and verdicts.
//
// # Owner and replica
//
// The members agree on a Table by consensus. Each table has an epoch, which only increases and fences messages
// of older tables. A table assigns each key by rendezvous hashing to an owner, which decides about the key, and
// to a replica, which stores a copy. The replica has the copy before a run begins, and before any member is
// notified that the run ended. If the owner fails, the replica is the owner under the next table, and has the
// running keys, the keys that have run, and their answers.
//
// # Change of table
//
// Under a new table, each member transfers to every other member its records of that member's keys, or an empty
// list if it has none. An owner decides about no key before it has received the transfers of all other members,
// since a key that is being moved cannot be distinguished from a new one. It also decides about no key after
// its lease has expired, as the group may have removed it. In both cases requests get RetryLater.
//
// # Messages
//
// Messages may be late, lost, duplicated and reordered. Each is acknowledged, and Tick resends the
// unacknowledged ones:
//
//   - A member asks the owner about a request (KindRequest) and receives a KindVerdict. It cancels a request by
//     KindCancel, which the owner acknowledges by KindCancelAck.
//   - The owner replicates a record to its replica (KindReplicate, KindReplicated) before it sends a verdict to
//     run.
//   - The member that ran a request reports the end (KindRunEnded) until owner and replica have it
//     (KindRunEndedAck).
//   - An owner probes runs (KindProbe): a member that does not know a run has not run it.
//   - A change of table moves records by KindTransfer and KindTransferred.
//
// The guarantee that no key runs twice is broken if owner and replica fail together before the records have
// been transferred, or if the clock of a member runs slower than that of the group by more than the margin of
// the lease.
package ownership
