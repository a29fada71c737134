// Package discovery keeps the list of servers that the platform's discovery, or one that speaks its
// protocol, serves.
//
// The protocol is one HTTP call, GET /discovery/hosts?after=VERSION&wait_ms=MS. Discovery holds it until it
// has something newer than VERSION, for MS at the most, and answers with a version and a list of servers:
// all of them ("whole") or those that have changed. A Watcher makes these calls one after the other; each
// one that is held is the watch. A Feed brings its updates to the pools that subscribe, or those of a list
// that the configuration holds.
//
// Two deployments differ. Where discovery is polled, calls cost it something: the first one and those after
// a failure wait for a request of the Balancer, which spreads the calls of many nodes. In a push deployment
// an agent on the node's own machine is called, and a watch begins by itself.
//
// The words of the protocol (host, dial, site, block, health, share, born_ms; seq, whole, hosts; after,
// wait_ms) stand in wire.go, list.go and call.go.
package discovery
