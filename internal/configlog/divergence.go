package configlog

// minDisagreeing is the minimum number of peers that must disagree with the follower's state before the follower
// considers its own state diverged. A single peer that disagrees is considered faulty.
const minDisagreeing = 2

// checkDivergence decides whether the follower's own state has diverged: at least minDisagreeing of its peers, and
// more than half of all, have another history. A diverged follower applies no more changes and requests a whole
// snapshot. Its configuration stays the current one until the snapshot is complete. The peers are no longer excluded.
func (f *Follower) checkDivergence() {
	disagreeing := 0
	for _, p := range f.peers {
		if p.disagrees {
			disagreeing++
		}
	}
	if disagreeing < minDisagreeing || disagreeing <= len(f.peers)/2 {
		return
	}
	f.diverged = true
	for _, p := range f.peers {
		p.disagrees, p.excludedUntil = false, 0
	}
}
