package configlog

// Action is an action for a follower's driver. The driver executes the actions of one Ready call in order.
type Action interface{ action() }

// Dial requests a stream to a peer. The driver reports the outcome by HandleConnected or HandleLost, and passes each
// received message to the follower.
type Dial struct {
	Stream uint64
	Peer   string
}

// CloseStream requests to close a stream, or to cancel its dial. The driver does not call HandleLost for it.
type CloseStream struct {
	Stream uint64
	Peer   string
	Reason CloseReason
}

// ApplyChanges requests to write changes to disk and then to apply them.
type ApplyChanges struct{ Changes []Change }

// InstallSnapshot requests to write a whole state to disk and then to apply it in place of the current one.
type InstallSnapshot struct{ Snapshot Snapshot }

func (Dial) action()            {}
func (Resume) action()          {}
func (CloseStream) action()     {}
func (ApplyChanges) action()    {}
func (InstallSnapshot) action() {}

// CloseReason is the reason why a stream was closed. Its text is part of a node's status.
type CloseReason string

// Reasons to close a stream.
const (
	ReasonDialTimeout      CloseReason = "unreached" // the dial exceeded DialTimeout
	ReasonLost             CloseReason = "lost"      // the dial failed, or the connection ended
	ReasonSilent           CloseReason = "silent"    // nothing was received for HeartbeatTimeout
	ReasonNoProgress       CloseReason = "stalled"   // the relay announced a newer version and did not send it
	ReasonLagging          CloseReason = "behind"    // the relay is not in sync, and another stream is better
	ReasonVersionRegressed CloseReason = "goes back" // the relay's version decreased, or its snapshot is not newer than the state
	ReasonDigestMismatch   CloseReason = "lies"      // a digest does not match, or a snapshot or change is invalid
	ReasonGap              CloseReason = "broken"    // changes are missing in the stream
	ReasonRedundant        CloseReason = "spare"     // the follower needs only its other stream
)
