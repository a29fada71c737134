// Package requestid tracks which request ids are in use in the processes of one node.
//
// During a hot restart, two or more processes serve clients at the same time. A request id that is open in one
// process must not be opened in another, as servers identify requests by their ids. The processes form a chain. Each has
// a Registry of its own ids, and applies the updates of its neighbors (ApplyPeer). Its updates for one neighbor
// (Complete, Changes) contain its own ids and those of its other neighbor, so that each process knows the ids of
// the whole chain. Ids are sent as hashes, as clients choose them and they may be long.
//
// The package is pure: its callers hold the lock and transfer the updates.
package requestid

import (
	"crypto/sha256"
	"errors"
	"fmt"
)

// hashSize is the size of an ID, in bytes: large enough that no two ids of a node collide.
const hashSize = 16

// MaxPeerIDs bounds the ids of one neighbor that are stored, with those of the processes beyond it: together they have
// no more connections, and so no more open requests.
const MaxPeerIDs = 1 << 16

// maxChanges bounds the ids that are stored for the next update to a neighbor. After more changes the next update
// contains all ids instead.
const maxChanges = 4096

// errMalformed means that an update contains an incomplete ID, or that its neighbor is unknown.
var errMalformed = errors.New("malformed update of request ids")

// ID is the hash of a request id: the first bytes of its SHA-256.
type ID [hashSize]byte

// Hash returns the ID of a request id.
func Hash(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(sum[:hashSize])
}

// Neighbor is one of the two neighbors that a process may have in a hot restart.
type Neighbor uint8

// The neighbors of a process. There is at most one of each.
const (
	Predecessor Neighbor = iota // the process that this one takes over from
	Successor                   // the process that takes over from this one
	neighborCount
)

// other returns the neighbor on the other side.
func (n Neighbor) other() Neighbor { return neighborCount - 1 - n }

// Update contains the changes of the request ids in use since the previous update. Opened and Ended are concatenated
// IDs.
type Update struct {
	Complete bool   `json:"Whole,omitempty"` // Opened contains all open ids and replaces earlier updates
	Opened   []byte `json:"Opened,omitempty"`
	Ended    []byte `json:"Ended,omitempty"`
}

// Empty reports whether the update contains nothing to send.
func (u Update) Empty() bool { return !u.Complete && len(u.Opened) == 0 && len(u.Ended) == 0 }

// Registry is the set of request ids that are open in this process, and of those that its neighbors have sent. It
// is not safe for concurrent use. The zero value is not usable; see New.
type Registry struct {
	open map[string]struct{}
	// hashes are the IDs of open; nil while no neighbor is sent updates, so that no id is hashed.
	hashes    map[ID]struct{}
	kept      map[ID]struct{} // ids of neighbors that have ended, in use until Release
	neighbors [neighborCount]neighborState
}

// neighborState is what a Registry stores of a neighbor.
type neighborState struct {
	open    map[ID]struct{} // ids that the neighbor has sent and not ended
	tracked bool            // the neighbor is sent updates
	// changed are the ids that changed since the last update to the neighbor; nil if the next update is complete.
	changed map[ID]struct{}
}

// New returns an empty registry.
func New() *Registry { return &Registry{open: make(map[string]struct{})} }

// Open marks an id as open. It returns false if the id is in use here or in a neighbor.
func (r *Registry) Open(name string) bool {
	if _, ok := r.open[name]; ok {
		return false
	}
	for i := range r.neighbors {
		if len(r.neighbors[i].open) == 0 {
			continue // the usual case, without the cost of hashing the id
		}
		if _, ok := r.neighbors[i].open[Hash(name)]; ok {
			return false
		}
	}
	if len(r.kept) > 0 {
		if _, ok := r.kept[Hash(name)]; ok {
			return false
		}
	}
	r.open[name] = struct{}{}
	if r.hashes != nil {
		id := Hash(name)
		r.hashes[id] = struct{}{}
		r.noteChange(id)
	}
	return true
}

// Close marks an id as ended. Close does nothing for an id that is not open.
func (r *Registry) Close(name string) {
	if _, ok := r.open[name]; !ok {
		return
	}
	delete(r.open, name)
	if r.hashes != nil {
		id := Hash(name)
		delete(r.hashes, id)
		r.noteChange(id)
	}
}

// Empty reports whether no id is in use, here or in a neighbor, and no neighbor has to be sent a change.
func (r *Registry) Empty() bool {
	for i := range r.neighbors {
		n := &r.neighbors[i]
		if len(n.open) > 0 || n.tracked && (n.changed == nil || len(n.changed) > 0) {
			return false
		}
	}
	return len(r.open) == 0 && len(r.kept) == 0
}

// noteChange stores a change of an id of this process for the next update to each neighbor.
func (r *Registry) noteChange(id ID) {
	for i := range r.neighbors {
		r.neighbors[i].noteChange(id)
	}
}

// noteChange stores a change for the next update to the neighbor.
func (n *neighborState) noteChange(id ID) {
	switch {
	case !n.tracked || n.changed == nil:
	case len(n.changed) >= maxChanges:
		n.changed = nil
	default:
		n.changed[id] = struct{}{}
	}
}

// Complete returns an update for a neighbor with all ids that are open here or in the other neighbor. It starts the
// tracking of changes for the neighbor, which ForgetPeer ends.
func (r *Registry) Complete(to Neighbor) Update {
	if r.hashes == nil {
		r.hashes = make(map[ID]struct{}, len(r.open))
		for name := range r.open {
			r.hashes[Hash(name)] = struct{}{}
		}
	}
	r.neighbors[to].tracked, r.neighbors[to].changed = true, make(map[ID]struct{})
	relayed := r.neighbors[to.other()].open
	u := Update{Complete: true, Opened: make([]byte, 0, hashSize*(len(r.hashes)+len(r.kept)+len(relayed)))}
	for id := range r.kept {
		u.Opened = append(u.Opened, id[:]...)
	}
	for id := range r.hashes {
		u.Opened = append(u.Opened, id[:]...)
	}
	for id := range relayed {
		u.Opened = append(u.Opened, id[:]...)
	}
	return u
}

// Changes returns an update for a neighbor with the changes since the last one, or a complete update if changes were
// not tracked. An id that was opened and ended between two updates is sent as ended, which is harmless.
func (r *Registry) Changes(to Neighbor) (u Update) {
	n := &r.neighbors[to]
	if !n.tracked || n.changed == nil {
		return r.Complete(to)
	}
	for id := range n.changed {
		if r.openFor(to, id) {
			u.Opened = append(u.Opened, id[:]...)
		} else {
			u.Ended = append(u.Ended, id[:]...)
		}
	}
	clear(n.changed)
	return u
}

// openFor reports whether an id is open here or in the other neighbor.
func (r *Registry) openFor(to Neighbor, id ID) bool {
	_, own := r.hashes[id]
	_, kept := r.kept[id]
	_, relayed := r.neighbors[to.other()].open[id]
	return own || kept || relayed
}

// ApplyPeer applies a neighbor's update. A malformed update is an error and changes nothing; ids beyond MaxPeerIDs
// are not stored.
func (r *Registry) ApplyPeer(from Neighbor, u Update) error {
	if from >= neighborCount || len(u.Opened)%hashSize != 0 || len(u.Ended)%hashSize != 0 {
		return fmt.Errorf("%w: neighbor %d, %d and %d bytes", errMalformed, from, len(u.Opened), len(u.Ended))
	}
	if u.Complete {
		r.dropPeerIDs(from)
	}
	peer, receiver := &r.neighbors[from], &r.neighbors[from.other()]
	if peer.open == nil {
		peer.open = make(map[ID]struct{})
	}
	for ids := u.Ended; len(ids) > 0; ids = ids[hashSize:] {
		delete(peer.open, ID(ids[:hashSize]))
		receiver.noteChange(ID(ids[:hashSize]))
	}
	for ids := u.Opened; len(ids) > 0 && len(peer.open) < MaxPeerIDs; ids = ids[hashSize:] {
		peer.open[ID(ids[:hashSize])] = struct{}{}
		receiver.noteChange(ID(ids[:hashSize]))
	}
	return nil
}

// KeepPeer keeps up to limit of a neighbor's ids in use, and returns them for Release. It is called before ForgetPeer: the
// requests behind the ids that a process has not ended may have run.
func (r *Registry) KeepPeer(from Neighbor, limit int) (ids []ID) {
	for id := range r.neighbors[from].open {
		if _, kept := r.kept[id]; kept || len(ids) >= limit {
			continue
		}
		if r.kept == nil {
			r.kept = make(map[ID]struct{})
		}
		r.kept[id] = struct{}{}
		ids = append(ids, id)
	}
	return ids
}

// Release ends the use of ids that KeepPeer has returned.
func (r *Registry) Release(ids []ID) {
	for _, id := range ids {
		delete(r.kept, id)
		r.noteChange(id)
	}
}

// ForgetPeer removes a neighbor's ids, as its process has ended, and stops the tracking of changes for it. Without
// neighbors, Open and Close have no further cost.
func (r *Registry) ForgetPeer(from Neighbor) {
	r.dropPeerIDs(from)
	r.neighbors[from] = neighborState{}
	if !r.neighbors[from.other()].tracked {
		r.hashes = nil
	}
}

// dropPeerIDs removes a neighbor's ids.
func (r *Registry) dropPeerIDs(from Neighbor) {
	receiver := &r.neighbors[from.other()]
	for id := range r.neighbors[from].open {
		receiver.noteChange(id)
	}
	r.neighbors[from].open = nil
}
