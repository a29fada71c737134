// Package membership is what one node knows of the members of its fleet: which may be serving, which were
// reachable lately, and which quota of a bound over the whole fleet is the node's own.
//
// # Messages in, records out
//
// A View performs no I/O and reads no clock. Package gossip drives it: records that arrive go into
// Merge, the passing of time into Tick, and proofs of other sources into MarkEnded, EndPredecessors and
// ConfirmComplete. Record is what there is to send of this member, and Records is everything for a full
// state exchange. Times are offsets on the reader's own monotonic clock. Messages may be lost,
// duplicated, delayed and reordered.
//
// # Identities and incarnations
//
// A member's Identity is its name and a number drawn once for its directory. Each process of it is one
// incarnation, with a greater number than those before. A record belongs to one incarnation; of two
// records the one with the greater sequence number holds.
//
// # Two questions
//
// Reachable answers which members can share work now. MayServe answers which members bounds are divided by: every
// incarnation that was ever heard of and is not proven to have ended, however long it has been silent. The
// proofs are
//
//   - its own graceful leave, or one that an operator sends on its behalf,
//   - the record of a later incarnation of its identity, which knows from its own machine that it ended,
//   - another source such as the cluster's leases, through MarkEnded,
//   - a silence of Options.EndedAfter, where the operator states one.
//
// # Quotas
//
// The safety property is that the quotas in use add up to at most one at every instant. It holds as every
// member with a quota counts all others that have one: each quota is then at most its weight over the
// sum of their weights.
//
// A new member is Joining and has no quota. Records carry a digest of the set of incarnations that
// their member counts. The joiner starts to serve once
//
//   - every member that may be serving has shown, at some time, the digest of the set that the joiner
//     itself counted then, and so counts the joiner; and
//   - one of those was serving, so that no member is missing that it counts; or ConfirmComplete has
//     confirmed the same.
//
// A set shrinks by proof alone, so what a member has shown once stays true. All others shrink their
// quotas with the first record of the joiner. The first member of a fleet has no other to wait for and
// starts by Options.FirstMember.
//
// # Invariants
//
//   - The quotas of all running members add up to at most one, and to one once all records have arrived.
//   - A quota shrinks with the first record of another member. It grows by proof alone, and starts by proof
//     or by an operator's word (Options.FirstMember, ServeFirst).
//   - An incarnation that is proven to have ended is not counted again for 24 h (retainEndedFor). One that
//     was silent for Options.EndedAfter is, with its next record.
//   - A record that is malformed, or a joiner's under a name in use, changes nothing.
//   - A view holds at most MaxMembers incarnations.
package membership
