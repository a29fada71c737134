// Package ownership shares idempotency keys among several members, so that a repeat may come to another member
// than the first request. No program uses it yet. It is pure: requests, messages and tables go in, messages and
// verdicts come out.
//
// # Owner and replica
//
// The members agree on a Table by consensus, under an epoch that only grows and fences messages of older
// tables. By rendezvous hashing a table gives each key an owner, which decides about it, and a replica, which
// holds a copy. The replica has the copy before a run begins, and before anybody hears that it ended. Where the
// owner fails, the replica is the owner under the next table and knows which keys run, which have run, and
// their answers.
//
// # Change of table
//
// Under a new table each member transfers to every other what it holds of that one's keys, if only that it
// holds none. An owner decides about nothing before it has heard from all, since a key that is being moved
// cannot be told from a new one; nor after its lease, as the group may have removed it. Requests get
// RetryLater meanwhile.
//
// # Messages
//
// Messages may be late, lost, duplicated and reordered. Each is answered, and Tick sends again what was not:
//
//   - A member asks the owner about a request (KindRequest) and gets a KindVerdict. It cancels by KindCancel.
//   - The owner has its replica hold a record (KindReplicate, KindReplicated) before it tells a member to run.
//   - The member that ran reports the end (KindRunEnded) until owner and replica have it (KindRunEndedAck).
//   - An owner asks after runs (KindProbe): a member that does not know a run has not run it.
//   - A change of table moves records by KindTransfer and KindTransferred.
//
// What breaks the promise that no key runs twice: owner and replica fail together before the records have been
// transferred, or a member's clock runs slower than the group's by more than the lease's margin.
package ownership
