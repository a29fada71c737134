// Package requestid tracks which request ids are in use in the processes of one node.
//
// During a hot restart, two or three processes serve clients at the same time. A request id that is open in one
// process must not be opened in another, as servers identify requests by their ids. Each process has a Registry of its own
// ids, sends the changes to its neighbors (Changes, All), and applies its neighbors' updates (ApplyPeer). Ids
// are sent as hashes, as clients choose them and they may be long.
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

// MaxPeerIDs bounds the ids of one neighbor that are stored: a neighbor has no more connections, and so no more open
// requests.
const MaxPeerIDs = 1 << 16

// maxChanges bounds the ids that are stored for the next update. After more changes the next update contains all
// ids instead.
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
	open     map[string]struct{}
	tracking bool        // changes are stored for the neighbors
	changed  map[ID]bool // ids that changed since the last update: true for those opened, false for those ended
	peers    [neighborCount]map[ID]struct{}
}

// New returns an empty registry.
func New() *Registry { return &Registry{open: make(map[string]struct{})} }

// Open marks an id as open. It returns false if the id is in use here or in a neighbor.
func (r *Registry) Open(name string) bool {
	if _, ok := r.open[name]; ok {
		return false
	}
	for _, peer := range r.peers {
		if len(peer) == 0 {
			continue // the usual case, without the cost of hashing the id
		}
		if _, ok := peer[Hash(name)]; ok {
			return false
		}
	}
	r.open[name] = struct{}{}
	r.track(name, true)
	return true
}

// Close marks an id as ended. Close does nothing for an id that is not open.
func (r *Registry) Close(name string) {
	if _, ok := r.open[name]; !ok {
		return
	}
	delete(r.open, name)
	r.track(name, false)
}

// Empty reports whether no id is in use, here or in a neighbor.
func (r *Registry) Empty() bool {
	inUse := len(r.open)
	for _, peer := range r.peers {
		inUse += len(peer)
	}
	return inUse == 0
}

// track stores a change for the next update. An id that was opened and ended between two updates is sent as ended,
// which is harmless.
func (r *Registry) track(name string, open bool) {
	if !r.tracking {
		return
	}
	if len(r.changed) >= maxChanges {
		r.StopTracking() // the next update contains all ids
		return
	}
	r.changed[Hash(name)] = open
}

// All returns a complete update of the ids that are open here.
func (r *Registry) All() Update {
	u := Update{Complete: true, Opened: make([]byte, 0, hashSize*len(r.open))}
	for name := range r.open {
		id := Hash(name)
		u.Opened = append(u.Opened, id[:]...)
	}
	return u
}

// Changes returns an update of the changes since the last call, or a complete one if changes were not tracked. It
// starts the tracking of changes.
func (r *Registry) Changes() Update {
	changed := r.changed
	first := !r.tracking
	r.tracking, r.changed = true, make(map[ID]bool)
	if first {
		return r.All()
	}
	var u Update
	for id, open := range changed {
		if open {
			u.Opened = append(u.Opened, id[:]...)
		} else {
			u.Ended = append(u.Ended, id[:]...)
		}
	}
	return u
}

// StopTracking stops the tracking of changes, as there are no neighbors. Open and Close then have no further cost.
func (r *Registry) StopTracking() { r.tracking, r.changed = false, nil }

// ApplyPeer applies a neighbor's update. A malformed update is an error and changes nothing; ids beyond MaxPeerIDs
// are not stored.
func (r *Registry) ApplyPeer(from Neighbor, u Update) error {
	if from >= neighborCount || len(u.Opened)%hashSize != 0 || len(u.Ended)%hashSize != 0 {
		return fmt.Errorf("%w: neighbor %d, %d and %d bytes", errMalformed, from, len(u.Opened), len(u.Ended))
	}
	if u.Complete || r.peers[from] == nil {
		r.peers[from] = make(map[ID]struct{})
	}
	peer := r.peers[from]
	for ids := u.Ended; len(ids) > 0; ids = ids[hashSize:] {
		delete(peer, ID(ids[:hashSize]))
	}
	for ids := u.Opened; len(ids) > 0 && len(peer) < MaxPeerIDs; ids = ids[hashSize:] {
		peer[ID(ids[:hashSize])] = struct{}{}
	}
	return nil
}

// ForgetPeer removes a neighbor's ids, as its process has ended.
func (r *Registry) ForgetPeer(from Neighbor) { r.peers[from] = nil }
