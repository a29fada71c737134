package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxMembers bounds the incarnations that a view stores. At capacity, new members are not counted and so get
	// no quota.
	MaxMembers = 4096
	// sendEndedFor is how long an ended incarnation is part of full exchanges, so that a member that was
	// partitioned for a shorter time is notified of the end.
	sendEndedFor = time.Hour
	// retainEndedFor is how long an ended incarnation is stored, so that its delayed records are ignored. A record
	// that arrives even later makes the view count it until its end is proven again. This is safe, since counting
	// more members only reduces quotas.
	retainEndedFor = 24 * time.Hour
)

// Options configures a view.
type Options struct {
	// ReachableFor is how long a member counts as reachable after it was last seen.
	ReachableFor time.Duration
	// EndedAfter is the silence after which a member counts as ended, as stated by the operator; 0 for never. A
	// member that is partitioned for longer and continues to serve is then not counted by the others.
	EndedAfter time.Duration
	// FirstMember makes this incarnation serve from its start. It must be set for exactly one of a new fleet's
	// members: joiners wait for a member that serves, and two members that set it are two fleets until they
	// connect.
	FirstMember bool
}

// View is the membership of a fleet as one member sees it. It is not safe for concurrent use.
type View struct {
	opts Options
	self ID
	// members has all known incarnations. It includes recently ended ones, so that their delayed records do not
	// make the view count them again.
	members       map[ID]*member
	endedUpTo     map[Identity]uint64 // the greatest incarnation proven to have ended together with all earlier ones
	digest        uint64              // the digest of the set of counted incarnations
	checkedDigest uint64              // the value of digest when all members were last checked for acknowledgements
	lastTick      time.Duration
	isComplete    bool // whether it is confirmed that no serving member is missing in members
}

// member is the state of one incarnation in a view.
type member struct {
	record   Record
	lastSeen time.Duration // when a new record of it arrived or MarkSeen was called; 0 for never
	ended    bool          // whether it is proven to have ended or was silent for Options.EndedAfter; if so, it is not counted
	endedAt  time.Duration // the time of the first Tick after it ended; 0 before that
	// acknowledges is whether it is known to count this view's own member.
	acknowledges bool
}

// Member is one incarnation that may be serving.
type Member struct {
	ID
	Zone     string // the zone that the member runs in; "" if no record of it has arrived
	Weight   float64
	State    MemberState
	LastSeen time.Duration // when the incarnation was last seen, on the local clock; 0 for never
	Quota    float64       // the member's quota according to this view, from 0 to 1; 0 unless it serves
}

// New returns the view of a new incarnation. The view sets Seq, State and Digest of the record self.
func New(o Options, self Record, now time.Duration) (*View, error) {
	self.Seq, self.State, self.Digest = 1, Joining, self.digest()
	if err := self.check(); err != nil {
		return nil, err
	}
	if o.FirstMember {
		self.State = Serving
	}
	v := &View{
		opts:          o,
		self:          self.ID,
		members:       map[ID]*member{self.ID: {record: self, lastSeen: now}},
		endedUpTo:     make(map[Identity]uint64),
		digest:        self.digest(),
		checkedDigest: self.digest(),
	}
	v.endUpTo(self.Identity, self.EndedUpTo)
	return v, nil
}

// Record returns the current record of this member, which the caller sends to other members.
func (v *View) Record() Record { return v.ownRecord() }

func (v *View) ownRecord() Record { return v.members[v.self].record }

// Records returns the records of all members, for a full state exchange.
func (v *View) Records() []Record {
	all := make([]Record, 0, len(v.members))
	for _, m := range v.members {
		if m.endedAt > 0 && v.lastTick-m.endedAt > sendEndedFor {
			continue
		}
		if m.record.Seq < endedSeq { // an end marked by MarkEnded was checked only by this member and is not sent
			all = append(all, m.record)
		}
	}
	return all
}

// IsKnown reports whether the view has the incarnation, or has removed it since a later one proved its end.
func (v *View) IsKnown(id ID) bool {
	return v.members[id] != nil || id.Incarnation <= v.endedUpTo[id.Identity]
}

// IsCounted reports whether the view counts an incarnation, as it may be serving.
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
		counted := Member{ID: id, Zone: m.record.Zone, Weight: m.record.Weight, State: m.record.State, LastSeen: m.lastSeen}
		if m.record.State == Serving {
			counted.Quota = m.record.Weight / weights
		}
		all = append(all, counted)
	}
	return all
}

// Reachable returns this member and the members seen within Options.ReachableFor, ordered by name.
func (v *View) Reachable(now time.Duration) []Member {
	return slices.DeleteFunc(v.MayServe(), func(m Member) bool { return !v.IsReachable(now, m) })
}

// IsReachable reports whether a member returned by MayServe was seen within Options.ReachableFor or is this one.
func (v *View) IsReachable(now time.Duration, m Member) bool {
	return m.ID == v.self || m.LastSeen > 0 && now-m.LastSeen <= v.opts.ReachableFor
}

// MarkSeen records that a member is reachable at the time now, even if it has sent no new record.
func (v *View) MarkSeen(now time.Duration, id ID) {
	if m := v.members[id]; m != nil {
		m.lastSeen = now
	}
}
