package membership

import "fmt"

// Quota returns this member's quota: the fraction of a fleet-wide limit that it may use, from 0 to 1.
//
// The quota is the member's weight over the sum of the weights of all members that may be serving. It is 0 before
// the member serves, and after it leaves or is proven to have ended. Silent members stay in the sum, since they
// may be serving on the other side of a partition.
func (v *View) Quota() float64 {
	own := v.members[v.self]
	if own.record.State != Serving || own.ended {
		return 0
	}
	return own.record.Weight / v.countedWeight()
}

// countedWeight returns the sum of the weights of all counted members.
func (v *View) countedWeight() (sum float64) {
	for _, m := range v.members {
		if !m.ended {
			sum += m.record.Weight
		}
	}
	return sum
}

// Leave gives up this member's quota permanently. The caller must send the member's record afterwards.
func (v *View) Leave() {
	own := &v.members[v.self].record
	own.State = Leaving
	own.Seq++
}

// ServeFirst makes a joiner serve immediately. It is for an operator who knows that no member serves, for example
// after the loss of a whole fleet. The other joiners then join this member. If another member does serve, there are
// two fleets until they connect. ServeFirst fails if this member is not joining.
func (v *View) ServeFirst() error {
	own := &v.members[v.self].record
	if own.State != Joining {
		return fmt.Errorf("%s is no longer joining", own.Name)
	}
	own.State = Serving
	own.Seq++
	return nil
}

// ConfirmComplete records that another source, such as the cluster's list of instances, has proven that no serving
// member is missing in this view. It has the same effect as a record of a serving member that counts the same set.
func (v *View) ConfirmComplete() {
	v.isComplete = true
	v.advance(nil)
}

// advance updates the state that depends on members after a change: which members acknowledge this one, whether this
// member starts to serve, and its own record. After a change of the counted set, the digest of any member may match, so
// advance checks all. Otherwise it checks only the member whose record was merged, or none if merged is nil.
func (v *View) advance(merged *member) {
	if v.digest != v.checkedDigest {
		for _, m := range v.members {
			v.checkAcknowledgement(m)
		}
	} else if merged != nil {
		v.checkAcknowledgement(merged)
	}
	v.checkedDigest = v.digest
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

// checkAcknowledgement records that a member acknowledges this one if it counts the same set as this view, and so counts
// this member. If that member also serves, no serving member is missing in this view.
func (v *View) checkAcknowledgement(m *member) {
	if m.record.Digest != v.digest || m.record.ID == v.self {
		return
	}
	m.acknowledges = true
	v.isComplete = v.isComplete || m.record.State == Serving
}

// acknowledgedByAll reports whether all other members that may be serving are known to count this one. An
// acknowledgement stays valid, since a member stops counting another only by proof.
func (v *View) acknowledgedByAll() bool {
	for id, m := range v.members {
		if id != v.self && !m.ended && !m.acknowledges {
			return false
		}
	}
	return true
}
