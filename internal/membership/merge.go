package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Merge merges a received record into the view. It returns whether the record was new; the caller must then send it
// to other members. If it returns an error, the view has not changed.
//
// The error wraps ErrName for a joiner whose name belongs to another identity that may be serving: the member that
// joined first keeps the name. A member that already serves is counted even if its name is in use, since it uses its
// quota.
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
		return false, fmt.Errorf("%w: weight of %s is %v, was %v; only a new incarnation may change it", ErrRecord, r.Name, r.Weight, m.record.Weight)
	}
	m.record, m.lastSeen = r, now
	v.setCounted(m, r.State != Leaving)
	v.endUpTo(r.Identity, r.EndedUpTo)
	v.advance(m)
	return true, nil
}

// mergeOwn merges a record of this member itself. A record that this view has sent changes nothing. A leave that
// this view has not sent comes from an operator (LeaveOnBehalf): the other members no longer count this member.
func (v *View) mergeOwn(r Record) {
	if r.State == Leaving && r.Seq > v.ownRecord().Seq {
		v.setCounted(v.members[v.self], false)
	}
}

// admit adds the member of the first record of an incarnation. It does not count the member yet.
func (v *View) admit(r Record) (*member, error) {
	if r.State == Joining && v.nameInUse(r.Identity) {
		return nil, fmt.Errorf("%w: %s", ErrName, r.Name)
	}
	if len(v.members) >= MaxMembers {
		return nil, fmt.Errorf("%w: %d members, cannot add %s", ErrFull, MaxMembers, r.Name)
	}
	m := &member{record: Record{ID: r.ID}, ended: true}
	v.members[r.ID] = m
	return m, nil
}

// nameInUse reports whether another identity with the same name may be serving.
func (v *View) nameInUse(id Identity) bool {
	for other, m := range v.members {
		if other.Name == id.Name && other.DirectoryID != id.DirectoryID && !m.ended {
			return true
		}
	}
	return false
}

// MarkEnded records that another source, such as the cluster's leases, has proven that an incarnation has ended.
func (v *View) MarkEnded(id ID) {
	if m := v.members[id]; m != nil {
		v.setCounted(m, false)
		if id != v.self {
			m.record.Seq = endedSeq // so that records of the incarnation that arrive later are ignored
		}
	} else if len(v.members) < MaxMembers {
		v.members[id] = &member{ended: true, record: Record{ID: id, Seq: endedSeq}}
	}
	v.advance(nil)
}

// LeaveOnBehalf returns a leave record for an incarnation that has ended according to an operator. The caller must
// merge and send the record; all members then stop counting the incarnation. If the incarnation is still running, it
// loses its quota when the record arrives.
func (v *View) LeaveOnBehalf(id ID) (Record, error) {
	m := v.members[id]
	if m == nil || id == v.self {
		return Record{}, fmt.Errorf("no other member %s with incarnation %d", id.Name, id.Incarnation)
	}
	r := m.record
	// A member that is known only by its ID has weight 0, which Record.check rejects.
	r.Seq, r.State, r.Weight = leaveOnBehalfSeq, Leaving, cmp.Or(r.Weight, 1)
	return r, nil
}

// EndPredecessors records that all incarnations of this member's identity up to the given one have ended, as checked
// on its own machine. The given incarnation must be lower than the member's own. The member's record passes the
// proof on.
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

// endUpTo ends the incarnations of an identity up to the given one and removes them: endedUpTo replaces them.
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

// Tick sets the current time. It stops counting the members that were silent for longer than Options.EndedAfter, and
// removes those that ended more than retainEndedFor ago.
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
		if v.opts.EndedAfter > 0 && id != v.self && now-m.lastSeen > v.opts.EndedAfter {
			v.setCounted(m, false)
		}
	}
	v.advance(nil)
}

// setCounted sets whether an incarnation is counted, and updates the digest.
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
