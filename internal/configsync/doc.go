// Package configsync distributes the configuration from the cluster's voters to all nodes. A Relay follows the
// voters and serves streams to nodes; a Source is a node's end of one. Both store a verified copy on disk.
//
// Package configlog decides which changes there are, which relay a node follows and when it leaves one. This
// package does the I/O for it: connections, files and clocks.
//
// # Streams
//
// A stream is a TLS connection from a node to a relay. Both send frames with a length prefix, of which the
// first payload byte is the kind. The node begins with a hello; the relay answers with configlog's messages,
// or with a rejection as its last frame. Once the node follows the relay it sends a Resume, and a report
// on what it has in force with each change and at least each reportInterval.
//
// # Ownership
//
// A Relay owns the goroutine that follows the voters and two for each stream, its reader and its writer. A
// Source owns its loop and one goroutine for each session, which dials and reads; the loop alone uses the
// follower, calls Install and Apply, and writes to the streams. Close ends and awaits all of them.
package configsync
