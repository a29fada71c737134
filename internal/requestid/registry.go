// Package requestid keeps which request ids are in use in the processes of one node.
//
// While a new version takes over, two or three processes serve clients at a time. A request id that is open in
// one of them must not be opened in another: servers tell requests apart by it. Each process has a Registry
// of its own ids, sends its neighbors what changes (Changes, All) and applies what they send (ApplyPeer).
// Ids are sent as hashes, as clients choose them and they may be long.
//
// The package is pure: its callers keep the lock and carry the updates.
package requestid

import (
	"crypto/sha256"
	"errors"
	"fmt"
)

// hashSize is that of an ID, in bytes: long enough that no two ids of a node collide.
const hashSize = 16

// MaxPeerIDs bounds the ids known of one neighbor: it has no more connections, and so no more open requests.
const MaxPeerIDs = 1 << 16

// maxChanges bounds the ids kept for the next update. Beyond it the update is of all ids instead.
const maxChanges = 4096

// errMalformed says that an update is not made of whole IDs.
var errMalformed = errors.New("update of request ids is not made of whole ids")

// ID stands for a request id: the first bytes of its SHA-256.
type ID [hashSize]byte

// Hash gives the ID of a request id.
func Hash(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(sum[:hashSize])
}

// Neighbor is a neighbor of this process.
type Neighbor uint8

// A process has one neighbor on each side, at the most.
const (
	Predecessor Neighbor = iota // the process that this one takes over from
	Successor                   // the process that takes over from this one
	sides
)

// Update says what has become of request ids since the update before it. Opened and Ended are IDs one after the
// other.
type Update struct {
	Complete bool   `json:"Whole,omitempty"` // Opened is all that is open; earlier updates are void
	Opened   []byte `json:"Opened,omitempty"`
	Ended    []byte `json:"Ended,omitempty"`
}

// Empty reports whether there is nothing to send.
func (u Update) Empty() bool { return !u.Complete && len(u.Opened) == 0 && len(u.Ended) == 0 }

// Registry is the request ids that are open here, and those known to be open in neighbors. It is not safe for
// concurrent use. The zero value is not usable; see New.
type Registry struct {
	open     map[string]struct{}
	tracking bool        // changes are kept for neighbors
	changed  map[ID]bool // since the last update: whether it is open now
	peers    [sides]map[ID]struct{}
}

// New makes a registry without an id.
func New() *Registry { return &Registry{open: make(map[string]struct{})} }

// Open takes an id, and returns false where it is in use here or in a neighbor.
func (r *Registry) Open(name string) bool {
	if _, ok := r.open[name]; ok {
		return false
	}
	for _, peer := range r.peers {
		if len(peer) == 0 {
			continue // as mostly: no id is hashed then
		}
		if _, ok := peer[Hash(name)]; ok {
			return false
		}
	}
	r.open[name] = struct{}{}
	r.track(name, true)
	return true
}

// Close gives an id back. It does nothing for one that is not open.
func (r *Registry) Close(name string) {
	if _, ok := r.open[name]; !ok {
		return
	}
	delete(r.open, name)
	r.track(name, false)
}

// track keeps a change for the next update. An id that opened and ended between two updates is sent as ended,
// which does no harm.
func (r *Registry) track(name string, open bool) {
	if !r.tracking {
		return
	}
	if len(r.changed) >= maxChanges {
		r.StopTracking() // the next update is of all ids
		return
	}
	r.changed[Hash(name)] = open
}

// All is an update of all that is open here.
func (r *Registry) All() Update {
	u := Update{Complete: true, Opened: make([]byte, 0, hashSize*len(r.open))}
	for name := range r.open {
		id := Hash(name)
		u.Opened = append(u.Opened, id[:]...)
	}
	return u
}

// Changes is an update of what has changed since the last call, or of all where there was none. It starts the
// tracking of changes.
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

// StopTracking stops keeping changes, as there are no neighbors. Opening and ending cost nothing more then.
func (r *Registry) StopTracking() { r.tracking, r.changed = false, nil }

// ApplyPeer takes a neighbor's update. A malformed one changes nothing; ids beyond MaxPeerIDs stay unknown.
func (r *Registry) ApplyPeer(from Neighbor, u Update) error {
	if from >= sides || len(u.Opened)%hashSize != 0 || len(u.Ended)%hashSize != 0 {
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

// ForgetPeer forgets a neighbor's ids: its process has ended, and with it its requests.
func (r *Registry) ForgetPeer(side Neighbor) { r.peers[side] = nil }
