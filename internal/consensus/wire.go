package consensus

import (
	"time"

	"jasperpin/internal/consensus/fsm"
)

// Paths of the HTTP calls.
const (
	pathCommand        = "/v1/do"
	pathRead           = "/v1/read"
	pathStatus         = "/v1/status"
	pathChangeVoters   = "/v1/voters"
	pathPropose        = "/v1/propose"
	pathConfig         = "/v1/config"
	pathConfigSnapshot = "/v1/config/snapshot"
	pathBackup         = "/v1/backup"
	pathRestoreBackup  = "/v1/revive"
)

// leaderHeader is the header with the leader's address in the response of a follower.
const leaderHeader = "Group-Leader"

// logEntry is the stored form of a command in the raft log.
type logEntry struct {
	Term uint64 `json:"Term"` // the term in which Elapsed was measured
	fsm.Command
}

// proposal is the request of pathPropose.
type proposal struct {
	Session string `json:"Session"`
	Number  uint64 `json:"Number"`
	Change  []byte `json:"Change"` // the proposed change, encoded by configlog.AppendChange
}

func (p proposal) command() fsm.Command {
	return fsm.Command{Op: fsm.ProposeConfig, Session: p.Session, Number: p.Number, Change: p.Change}
}

// configRequest is the request of pathConfig.
type configRequest struct {
	Since uint64 `json:"Since"` // the version after which changes are returned
	// Wait is how long the response may be delayed until there is a change, at most maxWait.
	Wait time.Duration `json:"Wait,omitempty"`
	// AnyVoter makes a follower respond as well, with the changes that it has applied.
	AnyVoter bool `json:"Any,omitempty"`
}

// configReply is the response of pathConfig: the changes after Since, as many as fit in one response.
type configReply struct {
	Version   uint64   `json:"Version"`
	Digest    []byte   `json:"Digest"`
	Changes   [][]byte `json:"Changes,omitempty"` // the changes, each encoded by configlog.AppendChange
	Compacted bool     `json:"Forgotten,omitempty"`
	Confirmed bool     `json:"Agreed,omitempty"`
}

// ReadRequest is the request of pathRead.
type ReadRequest struct {
	// Leases and Entries are prefixes: the leases and entries whose names begin with them are returned, and
	// none for nil.
	Leases  *string `json:"Leases,omitempty"`
	Entries *string `json:"Entries,omitempty"`
	After   uint64  `json:"After,omitempty"` // the revision after which events are returned
	// Wait is how long the response may be delayed until the revision differs from After, at most maxWait.
	Wait time.Duration `json:"Wait,omitempty"`
}

// ReadResponse is the response of pathRead. All its fields are from one revision of the state.
type ReadResponse struct {
	Revision uint64      `json:"Rev"`
	Leases   []fsm.Lease `json:"Leases,omitempty"`
	Entries  []fsm.Entry `json:"Entries,omitempty"`
	Events   []fsm.Event `json:"Changes,omitempty"`
	// EventsComplete is whether Events has all events after ReadRequest.After. If false, some are no longer
	// retained, and a watcher must use Leases and Entries.
	EventsComplete bool `json:"Whole"`
}

// Member is a voter in the cluster's raft configuration.
type Member struct {
	ID       string `json:"ID"`
	Addr     string `json:"Addr"`
	IsLeader bool   `json:"Leads"`
}

// Status is the state of the cluster as seen by one voter.
type Status struct {
	ID           string   `json:"ID"` // the id of the voter that responds
	Term         uint64   `json:"Term"`
	LastIndex    uint64   `json:"Last"`  // index of the log's last entry
	AppliedIndex uint64   `json:"Known"` // index of the last applied entry
	Revision     uint64   `json:"Rev"`
	IsLeader     bool     `json:"Leads"` // the voter is the leader, which a majority has confirmed
	Voters       []Member `json:"Voters"`
}

// VoterChange adds or removes one voter.
type VoterChange struct {
	Add    string `json:"Add,omitempty"` // the id of a voter that Join initialized
	Addr   string `json:"Addr,omitempty"`
	Remove string `json:"Remove,omitempty"` // an id, or the name from which Join made the id
}

// RegisteredInstance is an instance whose registration lease is held.
type RegisteredInstance struct {
	Name         string `json:"Name"`
	Incarnation  string `json:"Life"`  // different for each start of the process
	FencingToken uint64 `json:"Fence"` // the fencing token of its registration lease
}

// Backup is the state of a cluster.
type Backup struct {
	State []byte `json:"State"` // the state, encoded by fsm.State.Snapshot
}
