// Package service manages the current configuration of a node: the route table, the services with their
// limits, and the pools that serve them.
//
// Front ends of any protocol call two methods of a Set for each request. Set.Find routes the request to its
// service, pool and class. Set.Admit admits the request within the limits of its service, its pool and the
// machine, or rejects it; the Admission that it returns must be released once the request has ended.
//
// The current configuration is one immutable table, which Set.Apply and Set.Change replace as a whole:
// requests read it without a lock. Pools that a change does not affect are in both tables and keep what
// they have learned; a pool that is replaced or removed is retired: it accepts no new requests, finishes the
// open ones, and is then closed.
package service
