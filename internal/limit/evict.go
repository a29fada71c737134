package limit

import "time"

// ConnectionKind is a kind of client connections that have no whole request, and so may make room for a new
// connection.
type ConnectionKind uint8

// The kinds of connections that may be evicted.
const (
	NoConnection      ConnectionKind = iota // no connection: all have a request
	SilentConnection                        // has never sent a byte
	PartialConnection                       // has sent a part of its first request at once, and nothing since
	SendingConnection                       // has sent a part of its first request, and has gone on since
	IdleConnection                          // idle between requests
)

const (
	// stalledShare of maxConnections is left to silent and partial ones before they, and not idle ones, are
	// evicted: an idle connection belongs to a client that behaves, but costs it little to open again.
	stalledShare = 0.25
	// SilentGrace is for how long a silent one must have been quiet to go ahead of partial ones that have
	// sent something within partialGrace. A client that behaves sends its first byte with its connection;
	// one that takes 2 s for a head brings it in pieces.
	SilentGrace  = 50 * time.Millisecond
	partialGrace = 500 * time.Millisecond
)

// ConnectionGroup is the connections of one kind.
type ConnectionGroup struct {
	Count        int
	LongestQuiet time.Duration // for how long the quietest of them has sent nothing
}

// KindToEvict is the one rule for which kind's longest quiet connection makes room for a new one, where
// clients may have maxConnections.
//
//   - While silent and partial ones together have no more than stalledShare of maxConnections, an idle one goes,
//     if there is any.
//   - Otherwise a silent or a partial one goes: whichever kind has been quiet for longer, except that a silent
//     one goes ahead of partial ones that have all sent something within partialGrace.
//   - A sending one goes last, as only it loses a request that was on its way.
//   - NoConnection stands where all connections have requests: the new one waits for the first of these to end.
func KindToEvict(maxConnections int, silent, partial, sending, idle ConnectionGroup) ConnectionKind {
	stalled := silent.Count + partial.Count
	manyStalled := float64(stalled) > stalledShare*float64(maxConnections)
	switch {
	case idle.Count > 0 && !manyStalled:
		return IdleConnection
	case stalled == 0 && sending.Count == 0:
		return NoConnection
	case stalled == 0:
		return SendingConnection
	case partial.Count == 0, silent.Count > 0 && silent.LongestQuiet >= SilentGrace && partial.LongestQuiet < partialGrace:
		return SilentConnection
	case silent.Count == 0 || partial.LongestQuiet >= silent.LongestQuiet:
		return PartialConnection
	}
	return SilentConnection
}

// IsStalled reports whether a draining process does not wait for a connection that has no whole request and has
// been quiet for so long.
func IsStalled(quiet time.Duration) bool { return quiet >= partialGrace }
