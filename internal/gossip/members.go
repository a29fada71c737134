package gossip

import (
	"encoding/json"
	"fmt"
	"time"

	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

// Member is a member that may be serving, as operators see it.
type Member struct {
	Name        string        `json:"name"`
	DirectoryID uint64        `json:"place"` // see membership.Identity
	Incarnation uint64        `json:"life"`  // its incarnation
	Zone        string        `json:"site"`
	State       string        `json:"state"`
	Reachable   bool          `json:"heard"`  // reachable lately
	Age         time.Duration `json:"age_ns"` // since it was last heard; -1 for never
	Quota       float64       `json:"part"`   // its quota, from 0 to 1, as the reporting member has it
	Self        bool          `json:"self"`   // it is the reporting member
	// Notes are what it published last, by topic.
	Notes   map[string]Note `json:"notes,omitempty"`
	*Counts                 // of the reporting member alone
}

// Note is a note as operators see it.
type Note struct {
	Text string        `json:"text"`
	Age  time.Duration `json:"age_ns"`
}

// Counts is the network traffic of a member since its start.
type Counts struct {
	Sent     uint64 `json:"sent"`    // bytes
	Received uint64 `json:"got"`     // bytes received
	Dropped  uint64 `json:"dropped"` // packets beyond the bound on bytes
	Rejected uint64 `json:"strange"` // messages that could not be used
}

// Names of states for operators.
const (
	stateUnknown     = "untold"  // no record of the member has arrived
	stateUnreachable = "unheard" // whatever its record says
)

// stateNames are the names of what members say of themselves.
var stateNames = map[membership.MemberState]string{
	0:                  stateUnknown,
	membership.Joining: "joining",
	membership.Serving: "serving",
	membership.Leaving: "leaving",
}

// ReadMembers decodes members, each from one line of JSON.
func ReadMembers(lines []string) ([]Member, error) {
	all := make([]Member, len(lines))
	for i, line := range lines {
		if err := json.Unmarshal([]byte(line), &all[i]); err != nil {
			return nil, fmt.Errorf("decoding member %d of %d: %w", i+1, len(lines), err)
		}
	}
	return all, nil
}

// Members returns all that may be serving, ordered by name.
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
		shown := g.describeLocked(m, now)
		shown.Notes = make(map[string]Note)
		for topic, reading := range readings {
			if v, found := reading.Values[m.ID]; found {
				shown.Notes[topic] = Note{Text: string(v.Body), Age: v.Age}
			}
		}
		all = append(all, shown)
	}
	return all
}

// describeLocked returns a member without its notes. The caller holds mu.
func (g *Gossip) describeLocked(m membership.Member, now time.Duration) Member {
	shown := Member{
		Name:        m.Name,
		DirectoryID: m.DirectoryID,
		Incarnation: m.Incarnation,
		Zone:        m.Zone,
		State:       stateNames[m.State],
		Reachable:   g.view.IsReachable(now, m),
		Age:         now - m.LastHeard,
		Quota:       m.Quota,
		Self:        m.ID == g.opts.Self.ID,
	}
	switch {
	case shown.Self:
		counts := g.Counts()
		shown.Age, shown.Quota, shown.Counts = 0, g.view.Quota(), &counts
	case m.LastHeard == 0:
		shown.Age = -1
	}
	if !shown.Reachable {
		shown.State = stateUnreachable
	}
	return shown
}

// Counts returns the member's network traffic so far.
func (g *Gossip) Counts() Counts {
	return Counts{
		Sent:     g.transport.sent.Load(),
		Received: g.transport.received.Load(),
		Dropped:  g.transport.dropped.Load(),
		Rejected: g.rejected.Load(),
	}
}
