package consensus

import (
	"time"

	"jasperpin/internal/consensus/fsm"
)

// Paths of calls.
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

// leaderHeader holds the leader's address in the answer of a voter that does not lead.
const leaderHeader = "Group-Leader"

// logEntry is the stored form of a command in the raft log.
type logEntry struct {
	Term uint64 `json:"Term"` // in which Elapsed was measured
	fsm.Command
}

// proposal is the request of pathPropose.
type proposal struct {
	Session string `json:"Session"`
	Number  uint64 `json:"Number"`
	Change  []byte `json:"Change"` // encoded by configlog.AppendChange
}

func (p proposal) command() fsm.Command {
	return fsm.Command{Op: fsm.ProposeConfig, Session: p.Session, Number: p.Number, Change: p.Change}
}

// configRequest is the request of pathConfig.
type configRequest struct {
	Since uint64        `json:"Since"` // a version
	Wait  time.Duration `json:"Wait,omitempty"`
	// AnyVoter accepts what a voter has applied that does not lead.
	AnyVoter bool `json:"Any,omitempty"`
}

// configReply is the answer of pathConfig: the changes after Since, as far as they fit in one answer.
type configReply struct {
	Version   uint64   `json:"Version"`
	Digest    []byte   `json:"Digest"`
	Changes   [][]byte `json:"Changes,omitempty"` // encoded by configlog.AppendChange
	Compacted bool     `json:"Forgotten,omitempty"`
	Confirmed bool     `json:"Agreed,omitempty"`
}

// ReadRequest is the request of a read.
type ReadRequest struct {
	// Leases and Entries are the prefixes of the names to return; nil returns none.
	Leases  *string `json:"Leases,omitempty"`
	Entries *string `json:"Entries,omitempty"`
	After   uint64  `json:"After,omitempty"` // the revision after which events are returned
	// Wait is how long the answer may wait for a revision other than After, up to maxWait.
	Wait time.Duration `json:"Wait,omitempty"`
}

// ReadResponse is the answer of a read. All of it is of one revision.
type ReadResponse struct {
	Revision uint64      `json:"Rev"`
	Leases   []fsm.Lease `json:"Leases,omitempty"`
	Entries  []fsm.Entry `json:"Entries,omitempty"`
	Events   []fsm.Event `json:"Changes,omitempty"`
	// EventsComplete says that Events are all events after the revision asked for. Otherwise some
	// are no longer retained, and a watcher has to use Leases and Entries.
	EventsComplete bool `json:"Whole"`
}

// Member is a voter as the cluster has it.
type Member struct {
	ID       string `json:"ID"`
	Addr     string `json:"Addr"`
	IsLeader bool   `json:"Leads"`
}

// Status is what one voter knows of the cluster.
type Status struct {
	ID           string   `json:"ID"` // of the voter that answers
	Term         uint64   `json:"Term"`
	LastIndex    uint64   `json:"Last"`  // index of the log's last entry
	AppliedIndex uint64   `json:"Known"` // index of the last entry applied
	Revision     uint64   `json:"Rev"`
	IsLeader     bool     `json:"Leads"` // the voter leads, as a majority has confirmed
	Voters       []Member `json:"Voters"`
}

// VoterChange changes the voters: it adds or removes one.
type VoterChange struct {
	Add    string `json:"Add,omitempty"` // the id of a voter that Join has made
	Addr   string `json:"Addr,omitempty"`
	Remove string `json:"Remove,omitempty"` // an id, or the name that it begins with
}

// RegisteredInstance is an instance whose registration lease is held.
type RegisteredInstance struct {
	Name         string `json:"Name"`
	Incarnation  string `json:"Life"`  // another with each start
	FencingToken uint64 `json:"Fence"` // the fencing token of its lease
}

// Backup is the encoded state of a cluster.
type Backup struct {
	State []byte `json:"State"`
}
