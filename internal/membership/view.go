package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxMembers bounds the incarnations that a view holds. Beyond, no new member is counted, and so
	// none gets a quota.
	MaxMembers = 4096
	// sendEndedFor is how long an ended incarnation is part of full exchanges: a member that was cut off
	// for less learns of the end from them.
	sendEndedFor = time.Hour
	// retainEndedFor is how long an ended incarnation is remembered, so that delayed records of it are
	// not counted. A later one has it counted until its end is proven again, which is safe.
	retainEndedFor = 24 * time.Hour
)

// Options configure a view.
type Options struct {
	// ReachableFor is how long a member counts as reachable without a sign of it.
	ReachableFor time.Duration
	// EndedAfter is the silence after which a member counts as ended, as the operator states; 0 for never. A
	// member that is partitioned for longer, and serves on, is then counted by no other.
	EndedAfter time.Duration
	// FirstMember has this incarnation serve from its start. It must be set for one of a fleet's first
	// members alone: joiners wait for one that serves, and two that set it are two fleets until
	// they meet.
	FirstMember bool
}

// View is what one member knows of its fleet. It is not safe for concurrent use.
type View struct {
	opts Options
	self ID
	// members are all incarnations that were heard of, with those that ended lately: their delayed
	// records must not have them counted again.
	members    map[ID]*member
	endedUpTo  map[Identity]uint64 // the greatest incarnation proven to have ended with all before it
	digest     uint64              // of the set of incarnations that are counted
	evaluated  uint64              // the digest at which all members were last checked for acknowledgements
	lastTick   time.Duration
	isComplete bool // it was confirmed that no serving member is missing here
}

// member is what a view holds of one incarnation.
type member struct {
	record    Record
	lastHeard time.Duration // when it last sent something new or was seen; 0 for never
	ended     bool          // proven to have ended, or silent for Options.EndedAfter; not counted
	endedAt   time.Duration // when Tick first saw it ended; 0 before
	// acknowledges says that it is known to count this view's own member.
	acknowledges bool
}

// Member is one incarnation that may be serving.
type Member struct {
	ID
	Zone      string // the zone that it runs in; "" where no record of it has arrived
	Weight    float64
	State     MemberState
	LastHeard time.Duration // on the reader's clock; 0 for never
	Quota     float64       // its part of a bound over the fleet as this view has it; 0 unless it serves
}

// New starts an incarnation. The view sets its record's Seq, State and Digest from here on.
func New(o Options, self Record, now time.Duration) (*View, error) {
	self.Seq, self.State, self.Digest = 1, Joining, self.digest()
	if err := self.check(); err != nil {
		return nil, err
	}
	if o.FirstMember {
		self.State = Serving
	}
	v := &View{
		opts:      o,
		self:      self.ID,
		members:   map[ID]*member{self.ID: {record: self, lastHeard: now}},
		endedUpTo: make(map[Identity]uint64),
		digest:    self.digest(),
		evaluated: self.digest(),
	}
	v.endUpTo(self.Identity, self.EndedUpTo)
	return v, nil
}

// Record is what there is to send of this member now.
func (v *View) Record() Record { return v.ownRecord() }

func (v *View) ownRecord() Record { return v.members[v.self].record }

// Records returns the records of all members, for a full state exchange.
func (v *View) Records() []Record {
	all := make([]Record, 0, len(v.members))
	for _, m := range v.members {
		if m.endedAt > 0 && v.lastTick-m.endedAt > sendEndedFor {
			continue
		}
		if m.record.Seq < endedSeq { // else it is a proof that only this member has checked
			all = append(all, m.record)
		}
	}
	return all
}

// Knows reports whether a record has arrived of an incarnation, or of a later one of its identity.
func (v *View) Knows(id ID) bool {
	return v.members[id] != nil || id.Incarnation <= v.endedUpTo[id.Identity]
}

// IsCounted reports whether an incarnation may be serving.
func (v *View) IsCounted(id ID) bool {
	m := v.members[id]
	return m != nil && !m.ended
}

// MayServe returns the members that may be serving, ordered by name.
func (v *View) MayServe() []Member {
	weights := v.countedWeight()
	all := make([]Member, 0, len(v.members))
	for _, id := range slices.SortedFunc(maps.Keys(v.members), ID.compare) {
		m := v.members[id]
		if m.ended {
			continue
		}
		shown := Member{ID: id, Zone: m.record.Zone, Weight: m.record.Weight, State: m.record.State, LastHeard: m.lastHeard}
		if m.record.State == Serving {
			shown.Quota = m.record.Weight / weights
		}
		all = append(all, shown)
	}
	return all
}

// Reachable returns the members that were heard within Options.ReachableFor, with this one, ordered by name.
func (v *View) Reachable(now time.Duration) []Member {
	return slices.DeleteFunc(v.MayServe(), func(m Member) bool { return !v.IsReachable(now, m) })
}

// IsReachable reports whether a member of MayServe was heard within Options.ReachableFor, or is this one.
func (v *View) IsReachable(now time.Duration, m Member) bool {
	return m.ID == v.self || m.LastHeard > 0 && now-m.LastHeard <= v.opts.ReachableFor
}

// MarkSeen reports that a member is reachable, though it has sent nothing new.
func (v *View) MarkSeen(now time.Duration, id ID) {
	if m := v.members[id]; m != nil {
		m.lastHeard = now
	}
}
