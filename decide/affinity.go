package decide

import (
	"math"
	"math/rand/v2"
)

// affinity says which servers keys are kept on: weighted rendezvous hashing, by halves. Servers are the
// leaves of a binary tree that branches by the bits of a hash of their ids. From the root a key chooses
// the half whose own hash with the key, weighed by the size of its servers, bids more, and so on down
// to a server.
//
// Each server has its part of the keys by its size. All nodes with the same servers choose alike. When
// a server comes, keys move into halves that it has enlarged and nowhere else; when one goes it is the
// other way round: with n servers alike some log2(n)/2 keys move for each that it has itself. To
// choose, to add and to remove each take as many steps as the tree is deep, log2(n) and some.
type affinity struct {
	root    *half
	version uint64 // of the servers
}

// half is a part of the servers of an affinity: two halves, one of which may be missing, or one server.
type half struct {
	size   float64
	count  int
	halves [2]*half
	server *server
}

const placeBits = 32

// placeOf spreads ids, which may be numbers in a row, over the tree. No two have one place.
func placeOf(id ServerID) uint32 { return uint32(id) * 2654435769 }

// branch is which half of a part at some depth a server belongs to.
func branch(s *server, depth int) uint32 { return placeOf(s.ID) >> (placeBits - 1 - depth) & 1 }

// add takes a server in.
func (a *affinity) add(s *server) {
	a.root = a.root.with(s, 0)
	a.version++
}

// remove takes a server out. It must be there.
func (a *affinity) remove(s *server) {
	a.root = a.root.without(s, 0)
	a.version++
}

// with is a part, at some depth, with one more server.
func (h *half) with(s *server, depth int) *half {
	switch {
	case h == nil:
		return &half{size: s.Capacity, count: 1, server: s}
	case h.server != nil:
		split := &half{}
		split.halves[branch(h.server, depth)] = h
		h = split
	}
	to := &h.halves[branch(s, depth)]
	*to = (*to).with(s, depth+1)
	h.resize()
	return h
}

// without is a part, at some depth, with one server less. What is left of one server is that alone.
func (h *half) without(s *server, depth int) *half {
	if h.server != nil {
		return nil
	}
	from := &h.halves[branch(s, depth)]
	*from = (*from).without(s, depth+1)
	for i, rest := range h.halves {
		if rest != nil && rest.server != nil && h.halves[1-i] == nil {
			return rest
		}
	}
	h.resize()
	return h
}

// at gives the server at a position, in an order that the servers alone decide, and not how they came:
// nodes that share them out by position mean the same. It is nil past the last.
func (a *affinity) at(position int) *server {
	h := a.root
	for h != nil && h.server == nil {
		left := h.halves[0]
		if left != nil && position < left.count {
			h = left
			continue
		}
		if left != nil {
			position -= left.count
		}
		h = h.halves[1]
	}
	if h == nil || position > 0 {
		return nil
	}
	return h.server
}

// resize sums up the two halves. Sums depend on the servers alone, and not on the order in which they
// came, or nodes would disagree by the rounding.
func (h *half) resize() {
	h.size, h.count = 0, 0
	for _, part := range h.halves {
		if part != nil {
			h.size += part.size
			h.count += part.count
		}
	}
}

// choose gives the server that a key is kept on, by one of the key's numbers, and how many parts were
// looked at. It is nil without servers.
func (a *affinity) choose(key, number uint64) (s *server, looked uint64) {
	h := a.root
	for name := uint64(1); h != nil && h.server == nil; looked++ {
		left, right := h.halves[0], h.halves[1]
		name *= 2
		if left == nil || right != nil && bid(right, name+1, key, number) > bid(left, name, key, number) {
			name, left = name+1, right
		}
		h = left
	}
	if h == nil {
		return nil, looked
	}
	return h.server, looked
}

// bid is what a part offers for a key. Names of parts are numbers of up to 33 bits.
func bid(h *half, name, key, number uint64) float64 {
	hash := rand.NewPCG(name|number<<48, key).Uint64()
	return h.size / -math.Log(float64(hash>>11)/(1<<53)+1e-18)
}
