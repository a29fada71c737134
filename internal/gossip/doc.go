// Package gossip connects the members of a fleet. Members send each other records, which package membership merges,
// and notes, which package nodestate stores.
//
// github.com/hashicorp/memberlist is the transport: it connects members, detects failures by the SWIM protocol,
// broadcasts messages by gossip and exchanges full states. Only membership.View and nodestate.Store interpret the
// messages. A failure that memberlist detects makes a member unreachable but does not change any quota.
//
// # Messages
//
//   - A member broadcasts its record when its incarnation starts, serves or leaves. Each member that receives a new
//     record of another member broadcasts it once.
//   - A member sends the digest of the set that it counts only to joiners, at each tick until they serve. If the
//     digest were broadcast, each member would broadcast a message at each change of the fleet.
//   - The notes of a topic are broadcast at an interval that grows with the fleet, so that their rate is constant.
//   - A full state exchange carries all records and notes, and so replaces lost messages.
//
// # Concurrency
//
// A Gossip owns two goroutines: tickLoop updates the view periodically, and reconnectLoop connects to members that are
// not connected. Close stops both and waits for them. Memberlist calls the delegate from its own goroutines.
// Gossip.mu guards all state. It must not be held while memberlist sends to an address or joins, since memberlist may
// call the delegate during that time. Options.OnPositionChange and the log are called with mu held, so that positions
// are reported one at a time and in order.
package gossip
