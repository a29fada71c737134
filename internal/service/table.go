package service

import (
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"jasperpin/internal/route"
)

// table is one configuration in force. It never changes, and the next one shares with it what is the same.
type table struct {
	routes   *route.Table
	services byName[*Service]
	pools    byName[*poolEntry]
	only     *Target // where every request goes, where there is no choice; else nil
}

// poolEntry is a pool with how the idempotency keys of its classes are treated.
type poolEntry struct {
	*Pool
	keyed map[string]*KeyPolicy // by class; nil where there are none
}

// byName is an immutable map whose next version costs only what differs. Readers need no lock.
type byName[T any] struct{ tree *iradix.Tree[T] }

func newByName[T any]() byName[T] { return byName[T]{iradix.New[T]()} }

// get gives what has a name, or T's zero value.
func (m byName[T]) get(name string) T {
	v, _ := m.tree.Root().Get([]byte(name)) // the zero value where there is none
	return v
}

// names are all names, in their order.
func (m byName[T]) names() iter.Seq[string] {
	return func(yield func(string) bool) {
		m.tree.Root().Walk(func(name []byte, _ T) bool { return !yield(string(name)) })
	}
}

// all are the values in the order of their names.
func (m byName[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		m.tree.Root().Walk(func(_ []byte, v T) bool { return !yield(v) })
	}
}
