package configlog

import "time"

// Timeouts and intervals of the protocol. With any single fault, all nodes apply a change within 7 s:
// docs/design/configuration.md derives that bound from them.
const (
	// HeartbeatInterval is the maximum time between two heartbeats of a relay.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is the silence after which a follower closes a stream: two heartbeat intervals, and half an
	// interval for delays.
	HeartbeatTimeout = 2500 * time.Millisecond
	// DialTimeout bounds a dial, including the handshake.
	DialTimeout = time.Second
	// RedialInterval is the maximum wait before a relay may be dialled again. Each wait is drawn at random from
	// three quarters of it up to all of it (Follower.shorten). It limits the load that thousands of followers put
	// on a relay.
	RedialInterval = 1500 * time.Millisecond
	// DialStagger is the maximum wait between dials of different relays, drawn at random in the same way: a dial
	// that hangs must not delay the next one.
	DialStagger = 100 * time.Millisecond
	// FailoverJitter spreads the first dials of followers that lose the same relay at the same time.
	FailoverJitter = 200 * time.Millisecond
	// StaleAfter is the age from which a relay is not in sync. Its followers then keep it and probe other relays.
	// It is longer than an election of the voters.
	StaleAfter = 4 * time.Second
	// ProgressTimeout is the time after which a follower closes its current stream if the relay has announced a
	// newer version and sent no part of it.
	ProgressTimeout = 2 * time.Second
	// SnapshotQueueTimeout replaces ProgressTimeout while the stream is queued for a snapshot.
	SnapshotQueueTimeout = 30 * time.Second
	// FailureBackoff is the time for which a failed relay is dialled only if no other relay is available.
	FailureBackoff = 10 * time.Second
	// MismatchBackoff is the time for which a relay with a digest mismatch is not dialled at all.
	MismatchBackoff = 30 * time.Second
	// PreferredRetryInterval is the maximum wait before a more preferred relay is probed. Each wait is drawn at
	// random from three quarters of it up to all of it (Follower.shorten), so that the followers of a recovered
	// relay return one by one.
	PreferredRetryInterval = 10 * time.Minute
	// AgeUnknown is the age of a state that was never confirmed as the newest.
	AgeUnknown = 1 << 60 * time.Nanosecond
)
