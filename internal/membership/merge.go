package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Merge merges a record that arrived by any way. It returns whether the record was new, and so has to be
// passed on. With an error nothing has changed.
//
// ErrName is for a joiner whose name belongs to another identity that may be serving: the one that came
// first goes on. A member that serves already is counted whatever its name, as it uses its quota.
func (v *View) Merge(now time.Duration, r Record) (isNew bool, err error) {
	if err := r.check(); err != nil {
		return false, err
	}
	if r.ID == v.self {
		v.mergeOwn(r)
		return false, nil
	}
	m := v.members[r.ID]
	if r.Incarnation <= v.endedUpTo[r.Identity] || m != nil && r.Seq <= m.record.Seq {
		return false, nil // the incarnation has ended, or the record is not newer
	}
	if m == nil {
		if m, err = v.admit(r); err != nil {
			return false, err
		}
	} else if m.record.Weight != r.Weight {
		return false, fmt.Errorf("%w: the weight of %s is %v, was %v, and may change with a new incarnation alone", ErrRecord, r.Name, r.Weight, m.record.Weight)
	}
	m.record, m.lastHeard = r, now
	v.setCounted(m, r.State != Leaving)
	v.endUpTo(r.Identity, r.EndedUpTo)
	v.advance(m)
	return true, nil
}

// mergeOwn takes a record of this member itself. One that this view has sent changes nothing. A leave that
// it has not sent is an operator's (LeaveOnBehalf): all others count this member no more.
func (v *View) mergeOwn(r Record) {
	if r.State == Leaving && r.Seq > v.ownRecord().Seq {
		v.setCounted(v.members[v.self], false)
	}
}

// admit adds a member of which no record has arrived before, not counted yet.
func (v *View) admit(r Record) (*member, error) {
	if r.State == Joining && v.nameInUse(r.Identity) {
		return nil, fmt.Errorf("%w: %s", ErrName, r.Name)
	}
	if len(v.members) >= MaxMembers {
		return nil, fmt.Errorf("%w: it has %d members, and %s is not added", ErrFull, MaxMembers, r.Name)
	}
	m := &member{record: Record{ID: r.ID}, ended: true}
	v.members[r.ID] = m
	return m, nil
}

// nameInUse reports whether another identity of a name may be serving.
func (v *View) nameInUse(id Identity) bool {
	for other, m := range v.members {
		if other.Name == id.Name && other.DirectoryID != id.DirectoryID && !m.ended {
			return true
		}
	}
	return false
}

// MarkEnded takes the proof of another source, such as the cluster's leases, that an incarnation has ended.
func (v *View) MarkEnded(id ID) {
	if m := v.members[id]; m != nil {
		v.setCounted(m, false)
		if id != v.self {
			m.record.Seq = endedSeq // whatever it has sent before arrives too late
		}
	} else if len(v.members) < MaxMembers {
		v.members[id] = &member{ended: true, record: Record{ID: id, Seq: endedSeq}}
	}
	v.advance(nil)
}

// LeaveOnBehalf returns the record by which all members stop to count an incarnation that an operator
// knows to have ended. The caller merges and sends it. Where the incarnation runs after all, it has no
// quota from then on.
func (v *View) LeaveOnBehalf(id ID) (Record, error) {
	m := v.members[id]
	if m == nil || id == v.self {
		return Record{}, fmt.Errorf("no other member %s of incarnation %d is known", id.Name, id.Incarnation)
	}
	r := m.record
	// A member known by its ID alone has no weight, and Record.check rejects 0.
	r.Seq, r.State, r.Weight = leaveOnBehalfSeq, Leaving, cmp.Or(r.Weight, 1)
	return r, nil
}

// EndPredecessors takes the proof of this member's own machine that all incarnations of its identity up to
// one, which is before its own, have ended. The own record passes it on.
func (v *View) EndPredecessors(incarnation uint64) {
	own := &v.members[v.self].record
	if incarnation <= own.EndedUpTo || incarnation >= v.self.Incarnation {
		return
	}
	own.EndedUpTo = incarnation
	own.Seq++
	v.endUpTo(v.self.Identity, incarnation)
	v.advance(nil)
}

// endUpTo forgets the incarnations of an identity up to one: endedUpTo stands for them.
func (v *View) endUpTo(identity Identity, incarnation uint64) {
	if incarnation <= v.endedUpTo[identity] {
		return
	}
	v.endedUpTo[identity] = incarnation
	for id, m := range v.members {
		if id.Identity != identity || id.Incarnation > incarnation {
			continue
		}
		v.setCounted(m, false)
		if id != v.self {
			delete(v.members, id)
		}
	}
}

// Tick lets time pass: members that were silent for Options.EndedAfter are counted no more, and those that ended
// long ago are forgotten.
func (v *View) Tick(now time.Duration) {
	v.lastTick = now
	for id, m := range v.members {
		switch {
		case !m.ended:
			m.endedAt = 0
		case m.endedAt == 0:
			m.endedAt = max(now, 1)
		case now-m.endedAt > retainEndedFor && id != v.self:
			delete(v.members, id)
		}
		if v.opts.EndedAfter > 0 && id != v.self && now-m.lastHeard > v.opts.EndedAfter {
			v.setCounted(m, false)
		}
	}
	v.advance(nil)
}

// setCounted has an incarnation counted or not, and keeps the digest.
func (v *View) setCounted(m *member, counted bool) {
	if counted == !m.ended {
		return
	}
	m.ended = !counted
	if counted {
		v.digest += m.record.digest()
	} else {
		v.digest -= m.record.digest()
	}
}
