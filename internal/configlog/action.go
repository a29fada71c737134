package configlog

// Action is what a follower's driver has to do. The actions of one Ready are executed in order.
type Action interface{ action() }

// Dial asks for a stream to a peer. The driver reports it by HandleConnected or HandleLost, and passes on each
// message of it.
type Dial struct {
	Stream uint64
	Peer   string
}

// CloseStream ends a stream, or a dial that still goes on. The driver does not report that.
type CloseStream struct {
	Stream uint64
	Peer   string
	Reason CloseReason
}

// ApplyChanges asks to write changes to disk and then to put them in force.
type ApplyChanges struct{ Changes []Change }

// InstallSnapshot asks to write a whole state to disk and to put it in force, in place of all before it.
type InstallSnapshot struct{ Snapshot Snapshot }

func (Dial) action()            {}
func (Resume) action()          {}
func (CloseStream) action()     {}
func (ApplyChanges) action()    {}
func (InstallSnapshot) action() {}

// CloseReason is the reason for which a stream was closed. Its text is part of a node's status.
type CloseReason string

// Reasons to close a stream.
const (
	ReasonDialTimeout      CloseReason = "unreached"
	ReasonLost             CloseReason = "lost"      // the dial failed, or the connection ended
	ReasonSilent           CloseReason = "silent"    // no heartbeat for HeartbeatTimeout
	ReasonNoProgress       CloseReason = "stalled"   // it announced a newer version and sent nothing of it
	ReasonLagging          CloseReason = "behind"    // another relay has what it does not
	ReasonVersionRegressed CloseReason = "goes back" // its version is lower than before
	ReasonDigestMismatch   CloseReason = "lies"      // a digest does not match, or a message is malformed
	ReasonGap              CloseReason = "broken"    // changes are missing in the stream
	ReasonRedundant        CloseReason = "spare"     // another stream serves as well
)
