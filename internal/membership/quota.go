package membership

import "fmt"

// Quota is this member's quota: the part of a bound over the fleet that it may use, from 0 to 1.
//
// The rule: it is the member's weight over the sum of the weights of all that may be serving. It is 0
// until the member serves, and from when it leaves or is proven to have ended. Silent members stay in
// the sum, since they may be serving behind a partition.
func (v *View) Quota() float64 {
	own := v.members[v.self]
	if own.record.State != Serving || own.ended {
		return 0
	}
	return own.record.Weight / v.countedWeight()
}

// countedWeight is the sum of the weights of all that may be serving.
func (v *View) countedWeight() (sum float64) {
	for _, m := range v.members {
		if !m.ended {
			sum += m.record.Weight
		}
	}
	return sum
}

// Leave gives this member's quota up for good. The caller has to send the record that says so.
func (v *View) Leave() {
	own := &v.members[v.self].record
	own.State = Leaving
	own.Seq++
}

// ServeFirst makes a joiner serve at once. It is for an operator who knows that no member serves, such as after the
// loss of a fleet. The others join this member. Where another does serve after all, there are two fleets until
// they meet. It fails for a member that is not joining.
func (v *View) ServeFirst() error {
	own := &v.members[v.self].record
	if own.State != Joining {
		return fmt.Errorf("%s is not joining any more", own.Name)
	}
	own.State = Serving
	own.Seq++
	return nil
}

// ConfirmComplete takes the proof of another source, such as the cluster's list of instances, that no
// serving member is missing in this view. It stands in for a serving member that counts the same set.
func (v *View) ConfirmComplete() {
	v.isComplete = true
	v.advance(nil)
}

// advance draws the consequences of a change: which members acknowledge this one, whether it starts to serve,
// and whether its record has changed. A change of the counted set may make any member's digest match;
// otherwise only the record that was merged can show something new, or nil for none.
func (v *View) advance(merged *member) {
	if v.digest != v.evaluated {
		for _, m := range v.members {
			v.checkAcknowledgement(m)
		}
	} else if merged != nil {
		v.checkAcknowledgement(merged)
	}
	v.evaluated = v.digest
	own := &v.members[v.self].record
	before := own.State
	if own.State == Joining && v.isComplete && v.acknowledgedByAll() {
		own.State = Serving
	}
	if own.State != before || own.Digest != v.digest {
		own.Digest = v.digest
		own.Seq++
	}
}

// checkAcknowledgement records that a member counts the same set as this view, and so counts this member.
// Where that one serves, no serving member is missing here.
func (v *View) checkAcknowledgement(m *member) {
	if m.record.Digest != v.digest || m.record.ID == v.self {
		return
	}
	m.acknowledges = true
	v.isComplete = v.isComplete || m.record.State == Serving
}

// acknowledgedByAll reports whether all others that may be serving are known to count this member. What a
// member has shown once stays true: without proof it goes on counting.
func (v *View) acknowledgedByAll() bool {
	for id, m := range v.members {
		if id != v.self && !m.ended && !m.acknowledges {
			return false
		}
	}
	return true
}
