// Package route finds the pool for a request by host, path prefix, method and class, and says why.
//
// A Table is made of Rules. Of the rules that match a request the most specific one decides: by host first (an
// exact one before the longest wildcard before any host), then by the longest path prefix, then class before
// method. A host that is named belongs to its own rules alone: what they do not match has no route.
//
// The package is pure, and a table never changes: readers need no lock. The next table (Table.Change) shares
// with it what is the same, so that a change costs by the rules of the hosts that it names.
package route
