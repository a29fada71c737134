package limit

import "time"

// ConnectionKind is a kind of client connections without a complete request, which may be closed to make room for
// a new connection.
type ConnectionKind uint8

// The kinds of connections that may be evicted, and NothingToEvict.
const (
	NothingToEvict    ConnectionKind = iota // no connection: all of them have a request
	SilentConnection                        // a connection that has never sent a byte
	PartialConnection                       // a connection that has sent a part of a request in one piece and nothing since
	SendingConnection                       // a connection that has sent a part of a request in several pieces
	IdleConnection                          // a connection that is idle between requests
)

const (
	// stalledShare is the part of maxConnections that silent and partial connections may use together before
	// they are evicted in place of idle ones: an idle connection belongs to a well-behaved client, but that client
	// can reopen it at little cost.
	stalledShare = 0.25
	// SilentGrace is for how long a silent connection must have been quiet to be evicted before partial
	// connections that have all sent something within partialGrace. A well-behaved client sends its first
	// byte as soon as it is connected; a client that takes 2 s for a request head sends the head in pieces.
	SilentGrace  = 50 * time.Millisecond
	partialGrace = 500 * time.Millisecond
)

// ConnectionGroup describes the connections of one kind.
type ConnectionGroup struct {
	Count        int
	LongestQuiet time.Duration // the longest time for which one of the connections has sent nothing
}

// KindToEvict returns the kind whose longest quiet connection is closed to make room for a new one. It is the
// only rule for evictions. maxConnections is the limit of client connections.
//
//   - If silent and partial connections together are at most stalledShare of maxConnections, an idle connection is
//     evicted, if there is any.
//   - Otherwise a silent or a partial connection is evicted: the kind that has been quiet for longer, except that a
//     silent one that has been quiet for SilentGrace is evicted before partial ones that have all sent
//     something within partialGrace.
//   - A sending connection is evicted last, as only its client loses a request that it is sending.
//   - NothingToEvict means that all connections have requests: the new one waits until the first of these ends.
func KindToEvict(maxConnections int, silent, partial, sending, idle ConnectionGroup) ConnectionKind {
	stalled := silent.Count + partial.Count
	manyStalled := float64(stalled) > stalledShare*float64(maxConnections)
	switch {
	case idle.Count > 0 && !manyStalled:
		return IdleConnection
	case stalled == 0 && sending.Count == 0:
		return NothingToEvict
	case stalled == 0:
		return SendingConnection
	case partial.Count == 0, silent.Count > 0 && silent.LongestQuiet >= SilentGrace && partial.LongestQuiet < partialGrace:
		return SilentConnection
	case silent.Count == 0 || partial.LongestQuiet >= silent.LongestQuiet:
		return PartialConnection
	}
	return SilentConnection
}

// IsStalled reports whether a connection without a complete request is stalled after it has been quiet for some
// time. A draining process does not wait for a stalled connection.
func IsStalled(quiet time.Duration) bool { return quiet >= partialGrace }
