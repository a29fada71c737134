package decide

import (
	"math"
	"math/rand/v2"
)

// rendezvousTree assigns keys to servers by weighted rendezvous hashing over a binary tree. The servers
// are its leaves, and a server's path consists of the bits of a hash of its ID. From the root on, a key
// descends to the child with the higher score, a hash of the key and the child's path that is weighted by
// the child's capacity.
//
// Each server gets keys in proportion to its capacity, and all nodes with the same servers assign keys
// identically. When a server is added, keys move only into subtrees that it enlarged; when it is removed,
// they move back. With n equal servers, about log2(n)/2 other keys move for each key of that server. The
// zero tree has no servers. Choosing, adding and removing cost the depth of the tree, about log2(n).
type rendezvousTree struct {
	root    *rendezvousNode // nil if there are no servers
	version uint64          // number of changes of the tree
}

// rendezvousNode is a subtree: a leaf with one server, or two children, one of which may be nil.
type rendezvousNode struct {
	capacity float64 // sum over the servers of the subtree
	count    int     // number of servers of the subtree
	children [2]*rendezvousNode
	server   *server // the server of a leaf; nil in other nodes
}

const (
	pathBits = 32
	// pathMultiplier is odd, so that different IDs have different paths (Fibonacci hashing).
	pathMultiplier = 2654435769
	// scoreHashBits is the precision of a float64.
	scoreHashBits = 53
	// minHash keeps the logarithm of a hash of 0 finite.
	minHash = 1e-18
)

// pathOf distributes IDs, which may be consecutive, over the tree.
func pathOf(id ServerID) uint32 { return uint32(id) * pathMultiplier }

// childIndex returns the index of the child that a server belongs to, for a node at a depth.
func childIndex(s *server, depth int) uint32 { return pathOf(s.ID) >> (pathBits - 1 - depth) & 1 }

// add adds a server, which must not be in the tree.
func (t *rendezvousTree) add(s *server) {
	t.root = t.root.with(s, 0)
	t.version++
}

// remove removes a server, which must be in the tree.
func (t *rendezvousTree) remove(s *server) {
	t.root = t.root.without(s, 0)
	t.version++
}

// with returns the subtree at a depth with a server added.
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

// without returns the subtree at a depth with a server removed. A subtree with one server is a leaf.
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

// sum updates a node's sums. They depend only on the set of servers and not on the order of the changes;
// otherwise nodes would differ by rounding errors.
func (n *rendezvousNode) sum() {
	n.capacity, n.count = 0, 0
	for _, child := range n.children {
		if child != nil {
			n.capacity += child.capacity
			n.count += child.count
		}
	}
}

// at returns the server at a position, or nil beyond the last. The order depends only on the set of
// servers, so that nodes that divide servers among themselves by position agree.
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

// choose returns the server for a key and a replica number, and how many tree nodes it examined.
// Different numbers give independent choices, which may be the same server by chance. The server is nil
// if the tree is empty.
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

// score returns a child's weighted rendezvous score for a key; the key goes to the child with the highest
// score. The path identifies the child by a number of up to 33 bits.
func score(n *rendezvousNode, path, key, number uint64) float64 {
	hash := rand.NewPCG(path|number<<48, key).Uint64()
	uniform := float64(hash>>(64-scoreHashBits)) / (1 << scoreHashBits)
	return n.capacity / -math.Log(uniform+minHash)
}
