// Package discovery maintains the list of servers that the platform's discovery service, or another one with the
// same protocol, provides.
//
// The protocol is one HTTP call, GET /discovery/hosts?after=VERSION&wait_ms=MS. Discovery delays its answer until
// it has a version newer than VERSION, but for at most MS milliseconds. It then sends a version and a list of
// servers: a complete list ("whole") or the servers that have changed (a delta). A Watcher makes these calls one
// after the other; each delayed call is a watch. A Feed distributes the Watcher's updates, or the servers of a list
// in the configuration, to the pools that subscribe.
//
// There are two kinds of deployment. Where discovery is polled, calls cost the discovery service: the first call
// and calls after a failure wait for a request of the Balancer, which spreads the calls of many nodes. In a push
// deployment, the node calls an agent on its own machine, and the watch begins without a request.
//
// The names of the protocol (host, dial, site, block, health, share, born_ms; seq, whole, hosts; after, wait_ms)
// are used in wire.go, list.go and call.go.
package discovery
