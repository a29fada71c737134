package service

import (
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"jasperpin/internal/route"
)

// table is one version of the configuration. It never changes; the next version shares its unchanged parts.
type table struct {
	routes   *route.Table
	services byName[*Service]
	pools    byName[*poolEntry]
	only     *Target // the target of every request if there is a single one; otherwise nil
}

// poolEntry is a pool with the key policies of its classes.
type poolEntry struct {
	*Pool
	keyPolicies map[string]*KeyPolicy // key policies by class; nil for none
}

// byName is an immutable map. A changed copy costs only the changed entries. Readers need no lock.
type byName[T any] struct{ tree *iradix.Tree[T] }

func newByName[T any]() byName[T] { return byName[T]{iradix.New[T]()} }

// get returns the value with a name, or T's zero value.
func (m byName[T]) get(name string) T {
	v, _ := m.tree.Root().Get([]byte(name)) // the zero value if there is none
	return v
}

// names returns all names, sorted.
func (m byName[T]) names() iter.Seq[string] {
	return func(yield func(string) bool) {
		m.tree.Root().Walk(func(name []byte, _ T) bool { return !yield(string(name)) })
	}
}

// all returns the values, sorted by name.
func (m byName[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		m.tree.Root().Walk(func(_ []byte, v T) bool { return !yield(v) })
	}
}
