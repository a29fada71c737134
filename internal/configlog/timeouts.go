package configlog

import "time"

// Times of the protocol. Together they bound how long a change takes to be in force everywhere to 7 s, whichever
// single fault there is: docs/design/configuration.md adds them up.
const (
	// HeartbeatInterval is the most time between two heartbeats of a relay.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is the silence after which a follower closes a stream: two heartbeats, and half of
	// one for delays.
	HeartbeatTimeout = 2500 * time.Millisecond
	// DialTimeout bounds a dial, up to the end of the handshake.
	DialTimeout = time.Second
	// RedialInterval is the longest wait before a relay may be dialled again; each is drawn at random from
	// three quarters of it up to all (Follower.shorten). It bounds what thousands of followers cost a relay.
	RedialInterval = 1500 * time.Millisecond
	// DialStagger is the time between two dials of different relays, likewise: a dial that hangs must
	// not hold the next one up.
	DialStagger = 100 * time.Millisecond
	// FailoverJitter spreads the first dials of all followers that lose a relay at once.
	FailoverJitter = 200 * time.Millisecond
	// StaleAfter is the age from which a relay is not in sync, and others are probed while it is kept. It is
	// beyond what an election of the voters takes.
	StaleAfter = 4 * time.Second
	// ProgressTimeout is how long the current relay may announce a newer version and send nothing of it.
	ProgressTimeout = 2 * time.Second
	// SnapshotQueueTimeout is how long it may do so while the follower waits for its turn.
	SnapshotQueueTimeout = 30 * time.Second
	// FailureBackoff is how long a relay that failed is dialled only where no other is left.
	FailureBackoff = 10 * time.Second
	// MismatchBackoff is how long a relay with a digest that does not match is not dialled at all.
	MismatchBackoff = 30 * time.Second
	// PreferredRetryInterval is the longest wait before a more preferred relay is probed; each is drawn at
	// random from three quarters of it up to all (Follower.shorten): a relay that comes back gets its followers one by one.
	PreferredRetryInterval = 10 * time.Minute
	// AgeUnknown is the age of a state that is not known to have been the newest at any time.
	AgeUnknown = 1 << 60 * time.Nanosecond
)
