// Package configsync distributes the configuration from the cluster's voters to all nodes. A Relay follows the
// voters and serves streams to nodes. A Source is the node's end of such a stream. Both store a verified copy of the
// configuration on disk.
//
// Package configlog defines the changes, and decides which relay a node follows and when the node closes a stream.
// Package configsync performs the I/O for it: connections, files and clocks.
//
// # Streams
//
// A stream is a TLS connection from a node to a relay. Both ends send frames with a length prefix. The first byte of
// a frame's payload is its kind. The node's first frame is a hello. The relay answers with configlog's messages, or
// with a rejection as its last frame. When the node selects the relay to follow, it sends a Resume. It then reports its
// current version after each change, and at least every reportInterval.
//
// # Ownership
//
// A Relay owns the goroutine that follows the voters, and two goroutines for each stream: its reader and its writer. A
// Source owns its loop and one goroutine for each session, which dials and reads. Only the loop uses the follower,
// calls Install and Apply, and writes to the streams. Close stops all goroutines and waits until they have ended.
package configsync
