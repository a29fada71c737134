// Package plannerrpc connects forwarders and planners. It sends frames over persistent connections with
// mutual TLS. A Client is a forwarder's end for one pool, a Server a planner's end for all of its pools.
// The state machines of package planner decide which messages are sent and handle those received.
//
// Neither end ever blocks until the other end reads a message. If an end reads too slowly, the
// connection is closed. Only advice is lost with it.
package plannerrpc
