package gossip

import (
	"encoding/json"
	"fmt"
	"time"

	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

// Member is the status of a member that may be serving, for operators.
type Member struct {
	Name        string        `json:"name"`
	DirectoryID uint64        `json:"place"` // the number of the member's directory; see membership.Identity
	Incarnation uint64        `json:"life"`  // the number of the member's incarnation; see membership.ID
	Zone        string        `json:"site"`
	State       string        `json:"state"`
	Reachable   bool          `json:"heard"`  // whether the member is reachable; see membership.View.IsReachable
	Age         time.Duration `json:"age_ns"` // the time since the member was last seen; -1 for never
	Quota       float64       `json:"part"`   // the member's quota according to the reporting member, from 0 to 1
	Self        bool          `json:"self"`   // whether the member is the reporting one
	// Notes are the member's newest notes, by topic.
	Notes   map[string]Note `json:"notes,omitempty"`
	*Counts                 // only for the reporting member; nil for others
}

// Note is the content and age of a note, for operators.
type Note struct {
	Text string        `json:"text"`
	Age  time.Duration `json:"age_ns"`
}

// Counts counts the network traffic of a member since its start.
type Counts struct {
	Sent     uint64 `json:"sent"`    // bytes sent
	Received uint64 `json:"got"`     // bytes received
	Dropped  uint64 `json:"dropped"` // packets dropped because of the limit on bytes per second
	Rejected uint64 `json:"strange"` // invalid messages
}

// State names that do not come from a member's record.
const (
	stateUnknown     = "untold"  // no record of the member has arrived
	stateUnreachable = "unheard" // the member is unreachable, whatever state it has reported
)

// stateNames has the names of the states for operators.
var stateNames = map[membership.MemberState]string{
	0:                  stateUnknown,
	membership.Joining: "joining",
	membership.Serving: "serving",
	membership.Leaving: "leaving",
}

// ReadMembers decodes members from lines of JSON, one member per line.
func ReadMembers(lines []string) ([]Member, error) {
	all := make([]Member, len(lines))
	for i, line := range lines {
		if err := json.Unmarshal([]byte(line), &all[i]); err != nil {
			return nil, fmt.Errorf("decoding member %d of %d: %w", i+1, len(lines), err)
		}
	}
	return all, nil
}

// Members returns all members that may be serving, ordered by name.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	readings := make(map[string]nodestate.Reading)
	for _, topic := range g.opts.Topics {
		readings[topic.Name] = g.notes.Read(now, topic.Name)
	}
	var all []Member
	for _, m := range g.view.MayServe() {
		status := g.describeLocked(m, now)
		status.Notes = make(map[string]Note)
		for topic, reading := range readings {
			if v, found := reading.Values[m.ID]; found {
				status.Notes[topic] = Note{Text: string(v.Body), Age: v.Age}
			}
		}
		all = append(all, status)
	}
	return all
}

// describeLocked returns the status of a member without its notes. The caller must hold mu.
func (g *Gossip) describeLocked(member membership.Member, now time.Duration) Member {
	status := Member{
		Name:        member.Name,
		DirectoryID: member.DirectoryID,
		Incarnation: member.Incarnation,
		Zone:        member.Zone,
		State:       stateNames[member.State],
		Reachable:   g.view.IsReachable(now, member),
		Age:         now - member.LastSeen,
		Quota:       member.Quota,
		Self:        member.ID == g.opts.Self.ID,
	}
	switch {
	case status.Self:
		counts := g.Counts()
		status.Age, status.Quota, status.Counts = 0, g.view.Quota(), &counts
	case member.LastSeen == 0:
		status.Age = -1
	}
	if !status.Reachable {
		status.State = stateUnreachable
	}
	return status
}

// Counts returns this member's network traffic since its start.
func (g *Gossip) Counts() Counts {
	return Counts{
		Sent:     g.transport.sent.Load(),
		Received: g.transport.received.Load(),
		Dropped:  g.transport.dropped.Load(),
		Rejected: g.rejected.Load(),
	}
}
