// Package requestid is which requests' names are in use in the processes of one node: a name
// that is open in one of them is taken in the others. It is pure.
package requestid

import (
	"crypto/sha256"
	"errors"
	"fmt"
)

// size is that of an ID, in bytes. Names are a client's and may be long.
const size = 16

// MaxPeerIDs bounds the names known of one neighbour: it has no more connections.
const MaxPeerIDs = 1 << 16

// maxNews bounds what is kept for the neighbours, in names. Beyond it they are told of
// all that is open instead.
const maxNews = 4096

// ID stands for a name: the first bytes of its SHA-256.
type ID [size]byte

// Of gives a name's ID.
func Of(name string) ID {
	sum := sha256.Sum256([]byte(name))
	return ID(sum[:size])
}

// Side is a neighbour: the process before this one, or the one after it.
type Side uint8

// A process has one neighbour on each side, at the most.
const (
	Before Side = iota
	After
	sides
)

// Update is what has become of names since the news before it, as IDs one behind the other.
type Update struct {
	Complete bool   `json:"Whole,omitempty"` // all that is open; what was told before is void
	Opened   []byte `json:"Opened,omitempty"`
	Ended    []byte `json:"Ended,omitempty"`
}

// Empty says whether there is nothing to tell.
func (n Update) Empty() bool { return !n.Complete && len(n.Opened) == 0 && len(n.Ended) == 0 }

// Registry is the names that are open here, and those known to be open elsewhere. One owner
// at a time uses it.
type Registry struct {
	open    map[string]struct{}
	telling bool
	changed map[ID]bool // since the last news: whether it is open now
	theirs  [sides]map[ID]struct{}
}

// New makes a book without a name.
func New() *Registry { return &Registry{open: make(map[string]struct{})} }

// Open takes a name, and says false where it is in use here or elsewhere.
func (b *Registry) Open(name string) bool {
	if _, ok := b.open[name]; ok {
		return false
	}
	for _, side := range b.theirs {
		if len(side) == 0 {
			continue // as mostly: no name is hashed
		}
		if _, ok := side[Of(name)]; ok {
			return false
		}
	}
	b.open[name] = struct{}{}
	b.note(name, true)
	return true
}

// End gives a name back.
func (b *Registry) End(name string) {
	if _, ok := b.open[name]; !ok {
		return
	}
	delete(b.open, name)
	b.note(name, false)
}

// note keeps a change for the neighbours. A name that opened and ended between two news
// is told as ended, which does no harm.
func (b *Registry) note(name string, open bool) {
	if !b.telling {
		return
	}
	if len(b.changed) >= maxNews {
		b.StopTracking() // the next news is of all names
		return
	}
	b.changed[Of(name)] = open
}

// All is news of all that is open here.
func (b *Registry) All() Update {
	n := Update{Complete: true, Opened: make([]byte, 0, size*len(b.open))}
	for name := range b.open {
		id := Of(name)
		n.Opened = append(n.Opened, id[:]...)
	}
	return n
}

// Changes is what has changed since the last call, or all where there was none.
func (b *Registry) Changes() Update {
	was := b.changed
	first := !b.telling
	b.telling, b.changed = true, make(map[ID]bool)
	if first {
		return b.All()
	}
	var n Update
	for id, open := range was {
		if open {
			n.Opened = append(n.Opened, id[:]...)
		} else {
			n.Ended = append(n.Ended, id[:]...)
		}
	}
	return n
}

// StopTracking has nothing kept for neighbours, as there are none. It costs nothing then.
func (b *Registry) StopTracking() { b.telling, b.changed = false, nil }

var errNews = errors.New("news of names that are no whole IDs")

// ApplyPeer takes a neighbour's news. News that cannot be read changes nothing; names beyond
// the bound stay unknown.
func (b *Registry) ApplyPeer(from Side, n Update) error {
	if from >= sides || len(n.Opened)%size != 0 || len(n.Ended)%size != 0 {
		return fmt.Errorf("%w: %d and %d bytes", errNews, len(n.Opened), len(n.Ended))
	}
	if n.Complete || b.theirs[from] == nil {
		b.theirs[from] = make(map[ID]struct{})
	}
	theirs := b.theirs[from]
	for ids := n.Ended; len(ids) > 0; ids = ids[size:] {
		delete(theirs, ID(ids[:size]))
	}
	for ids := n.Opened; len(ids) > 0 && len(theirs) < MaxPeerIDs; ids = ids[size:] {
		theirs[ID(ids[:size])] = struct{}{}
	}
	return nil
}

// ForgetPeer forgets a neighbour's names: its process has ended, and with it its requests.
func (b *Registry) ForgetPeer(side Side) { b.theirs[side] = nil }
