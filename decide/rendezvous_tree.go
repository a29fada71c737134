package decide

import (
	"math"
	"math/rand/v2"
)

// rendezvousTree places keys on servers by weighted rendezvous hashing over a binary tree. Servers are its
// leaves, and a server's path is the bits of a hash of its id. From the root on, a key goes to the child
// with the higher score, a hash of the key and of the child's path, weighted by the child's capacity.
//
// Each server gets keys by its capacity, and all nodes with the same servers choose the same. When a server
// is added, keys move only into subtrees that it enlarged, and the reverse when it is removed: with n equal
// servers some log2(n)/2 other keys move for each key of its own. The zero tree has no servers. Choosing,
// adding and removing cost the depth of the tree, some log2(n).
type rendezvousTree struct {
	root    *rendezvousNode // nil without servers
	version uint64          // counts the changes
}

// rendezvousNode is a subtree: a leaf with one server, or two children, of which one may be nil.
type rendezvousNode struct {
	capacity float64 // the sum over its servers
	count    int     // its servers
	children [2]*rendezvousNode
	server   *server // of a leaf, else nil
}

const (
	pathBits = 32
	// pathMultiplier is odd, so that no two ids have the same path (Fibonacci hashing).
	pathMultiplier = 2654435769
	// scoreHashBits is the precision of a float64.
	scoreHashBits = 53
	// minHash keeps the logarithm of a hash of 1 from being 0.
	minHash = 1e-18
)

// pathOf spreads ids, which may be consecutive, over the tree.
func pathOf(id ServerID) uint32 { return uint32(id) * pathMultiplier }

// childIndex is which child of a node at a depth a server belongs to.
func childIndex(s *server, depth int) uint32 { return pathOf(s.ID) >> (pathBits - 1 - depth) & 1 }

// add adds a server, which must not be there.
func (t *rendezvousTree) add(s *server) {
	t.root = t.root.with(s, 0)
	t.version++
}

// remove removes a server, which must be there.
func (t *rendezvousTree) remove(s *server) {
	t.root = t.root.without(s, 0)
	t.version++
}

// with returns the subtree at a depth with one more server.
func (n *rendezvousNode) with(s *server, depth int) *rendezvousNode {
	if n == nil {
		return &rendezvousNode{capacity: s.Capacity, count: 1, server: s}
	}
	if n.server != nil {
		parent := &rendezvousNode{}
		parent.children[childIndex(n.server, depth)] = n
		n = parent
	}
	child := &n.children[childIndex(s, depth)]
	*child = (*child).with(s, depth+1)
	n.sum()
	return n
}

// without returns the subtree at a depth with one server less. A subtree of one server is its leaf.
func (n *rendezvousNode) without(s *server, depth int) *rendezvousNode {
	if n.server != nil {
		return nil
	}
	child := &n.children[childIndex(s, depth)]
	*child = (*child).without(s, depth+1)
	for i, rest := range n.children {
		if rest != nil && rest.server != nil && n.children[1-i] == nil {
			return rest
		}
	}
	n.sum()
	return n
}

// sum brings a node's sums up to date. They depend on the servers alone and not on the order in which they
// came, or nodes would disagree by the rounding.
func (n *rendezvousNode) sum() {
	n.capacity, n.count = 0, 0
	for _, child := range n.children {
		if child != nil {
			n.capacity += child.capacity
			n.count += child.count
		}
	}
}

// at returns the server at a position, nil past the last. The order depends on the servers alone, so that
// nodes which share servers out by position mean the same ones.
func (t *rendezvousTree) at(position int) *server {
	n := t.root
	for n != nil && n.server == nil {
		left := n.children[0]
		if left != nil && position < left.count {
			n = left
			continue
		}
		if left != nil {
			position -= left.count
		}
		n = n.children[1]
	}
	if n == nil || position > 0 {
		return nil
	}
	return n.server
}

// choose returns the server for a key and a number, and how many nodes were looked at. Other numbers give
// the key other servers, which may be the same by chance. It is nil without servers.
func (t *rendezvousTree) choose(key, number uint64) (s *server, examined uint64) {
	n := t.root
	for path := uint64(1); n != nil && n.server == nil; examined++ {
		left, right := n.children[0], n.children[1]
		path *= 2
		if left == nil || right != nil && score(right, path+1, key, number) > score(left, path, key, number) {
			path++
			n = right
		} else {
			n = left
		}
	}
	if n == nil {
		return nil, examined
	}
	return n.server, examined
}

// score is a child's weighted rendezvous score for a key: the child with the highest one gets it. The path
// names the child, by a number of up to 33 bits.
func score(n *rendezvousNode, path, key, number uint64) float64 {
	hash := rand.NewPCG(path|number<<48, key).Uint64()
	uniform := float64(hash>>(64-scoreHashBits)) / (1 << scoreHashBits)
	return n.capacity / -math.Log(uniform+minHash)
}
