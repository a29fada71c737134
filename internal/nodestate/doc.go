// Package nodestate stores small values that the members of a fleet publish to each other, such as each node's load. For
// each member and kind it stores the newest note and its age.
//
// # Input and output
//
// A Store performs no I/O and reads no clock. Package gossip drives it: it passes received notes to Merge and this
// member's own notes to Publish, and All returns all notes for a full state exchange. Times are offsets on the local
// monotonic clock; the clocks of different members are never compared. Instead, a note carries its age, to which each
// member that passes it on adds the time for which it stored the note. The network delay, some milliseconds, is not
// counted.
//
// # Merging
//
// Of two notes of the same member and kind, the one with the greater sequence number is current. If the numbers are
// equal, the greater age is stored. So the result does not depend on duplicates, delays, order or route, or on the loss
// of older notes.
//
// # Invariants
//
//   - A note is stored only while the membership view counts its member, and only up to the TTL of its kind.
//   - A note is at most as large as its kind allows, so the size of the view bounds the size of the store.
//   - A note that is malformed, or of an unknown kind, changes nothing.
package nodestate
