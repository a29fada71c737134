// Package route routes requests to pools by host, path prefix, method and class, and explains each match.
//
// A Table is a set of Rules. If several rules match a request, the most specific one applies: first by host (an
// exact host before the longest wildcard before any host), then by the longest path prefix, then a rule with a
// class before one with a method. Only the rules of the most specific host apply: a request to that host that
// none of them matches has no route.
//
// The package is pure, and a table never changes: readers need no lock. A new table (Table.Change) shares the
// unchanged parts with the previous one, so that the cost of a change depends only on the rules of its hosts.
package route
