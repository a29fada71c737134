// Package membership tracks the members of a fleet as one node sees them: which members may be serving, which are
// reachable, and which quota of a fleet-wide limit this node may use.
//
// # Input and output
//
// A View performs no I/O and reads no clock. Package gossip drives it: it passes received records to Merge, the
// current time to Tick, and proofs from other sources to MarkEnded, EndPredecessors and ConfirmComplete. Record
// returns the record to send for this member, and Records returns all records for a full state exchange. Times are
// offsets on the local monotonic clock. Messages may be lost, duplicated, delayed and reordered.
//
// # Identities and incarnations
//
// A member's Identity is its name and a number drawn once for its directory. Each process of the member is one
// incarnation, with a greater number than all earlier ones. A record belongs to one incarnation. Of two records
// of the same incarnation, the one with the greater sequence number is current.
//
// # Reachable and counted members
//
// Reachable returns the members that can share work now. MayServe returns the members among which limits are
// divided, the counted members: every incarnation that is known and not proven to have ended, no matter how long
// it has been silent. The proofs are
//
//   - a graceful leave, sent by the incarnation itself or by an operator on its behalf,
//   - the record of a later incarnation of its identity, which has checked on the same machine that
//     the earlier incarnation ended,
//   - another source such as the cluster's leases, through MarkEnded,
//   - a silence longer than Options.EndedAfter, if the operator sets one.
//
// # Quotas
//
// The safety property is that the quotas in use add up to at most one at every instant. It holds because every
// member with a quota counts all other members with a quota: each quota is then at most the member's weight over
// the sum of their weights.
//
// A new member is Joining and has no quota. Records carry a digest of the set of incarnations that their member
// counts. The joiner starts to serve once
//
//   - every member that may be serving has sent, at some time, the digest of the set that the joiner itself
//     counted at that time, and so counts the joiner; and
//   - one of those members was serving, so the joiner also counts all members that the serving one counted; or
//     ConfirmComplete has confirmed that no serving member is missing.
//
// An incarnation is removed from a set only by proof, so a member that has counted the joiner once continues to
// count it. All other members reduce their quotas at the first record of the joiner. The first member of a fleet
// has no other member to wait for and starts with Options.FirstMember.
//
// # Invariants
//
//   - The quotas of all running members add up to at most one, and to one once all records have arrived.
//   - A quota shrinks at the first record of another member. It grows only by proof, and it starts by proof or by
//     an operator's statement (Options.FirstMember, ServeFirst).
//   - An incarnation that is proven to have ended is not counted again for 24 h (retainEndedFor). One that was
//     silent for Options.EndedAfter is counted again at its next record.
//   - A malformed record, or the record of a joiner whose name is in use, changes nothing.
//   - A view stores at most MaxMembers incarnations.
package membership
