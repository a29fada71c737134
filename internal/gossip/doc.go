// Package gossip connects the members of a fleet. It feeds package membership with the records, and package
// nodestate with the notes, that members send each other.
//
// github.com/hashicorp/memberlist is the transport: it connects members, detects failures by the SWIM
// protocol, broadcasts messages by gossip and exchanges full states. What the messages mean is decided by
// membership.View and nodestate.Store alone; a failure that memberlist detects only makes a member
// unreachable, and changes no quota.
//
// # Messages
//
//   - A member's record is broadcast when its incarnation starts, serves or leaves. A new record of
//     another member is broadcast once by each member that it reaches.
//   - The digest of the set that a member counts is sent to joiners alone, at each tick until they serve.
//     Broadcast to all, it would be one message of each member for each change of the fleet.
//   - A topic's notes are broadcast at an interval that grows with the fleet, so that their rate stays.
//   - A full state exchange carries all records and notes, and makes up for whatever was lost.
//
// # Concurrency
//
// A Gossip owns two goroutines: tickLoop lets time pass, and reconnectLoop finds members that are not
// connected. Close ends and awaits both. Memberlist calls the delegate from goroutines of its own; all
// state is under Gossip.mu, which is never held while memberlist sends to an address or joins, as it
// calls the delegate meanwhile. Options.OnPositionChange and the log are called under mu, so that positions are
// reported one at a time and in order.
package gossip
