// Package nodestate holds small values that the members of a fleet publish to each other, such as each
// node's load: of each member and kind the newest note, with its age.
//
// # Messages in, notes out
//
// A Store performs no I/O and reads no clock. Package gossip drives it: notes that arrive go into Merge,
// what this member publishes goes into Publish, and All is everything for a full state exchange. Times
// are offsets on the reader's own monotonic clock; no clocks are compared. A note carries its age
// instead, to which each member that passes it on adds the time that it held it. The time on the way is
// not counted, some milliseconds.
//
// # Merging
//
// Of two notes of one member and kind the one with the greater sequence number holds; at the same
// number the greater age. So the result does not depend on loss, duplicates, delays, order or route.
//
// # Invariants
//
//   - A note is stored only of members that the membership view counts, and only up to its kind's TTL.
//   - A note is at most as large as its kind allows, so that the store is bounded by the view.
//   - A note that is malformed, or of an unknown kind, changes nothing.
package nodestate
