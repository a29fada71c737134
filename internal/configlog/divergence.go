package configlog

// minDisagreeing is the least number of peers whose digests are believed against the follower's own state: one
// alone is taken for wrong.
const minDisagreeing = 2

// checkDivergence decides whether the follower's own state is the odd one: at least minDisagreeing of its peers,
// and more than half of all, have another history. It then takes no more changes and asks for a whole
// snapshot; what it has stays in force until that is complete. The peers are no longer excluded.
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
