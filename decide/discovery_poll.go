package decide

import "time"

const (
	// Nodes of a fleet may all start at once, and discovery serves few calls per second. Their first polls
	// are therefore spread: by firstPollSpacing from one node to the next, over at most firstPollSpread.
	firstPollSpacing = 250 * time.Millisecond
	firstPollSpread  = 2 * time.Second
	// maxPollPeriodShare bounds each wait before a poll, as a share of Settings.PollPeriod.
	maxPollPeriodShare = 0.6
	// pollBackoffBase is the mean wait after a failed poll. The wait grows with each consecutive failure,
	// up to maxPollBackoffFactor times the base.
	pollBackoffBase      = 1500 * time.Millisecond
	maxPollBackoffFactor = 3
)

// discoveryPoll is the state of polling discovery. A successful poll is a subscription until a later poll fails.
type discoveryPoll struct {
	subscribed  bool // updates arrive without polling
	polling     bool // a poll is waiting for its answer
	failedPolls int  // number of consecutive polls that failed
}

// firstPollAt returns when a node that starts now first polls discovery: at a random time within the
// node's slot among all nodes.
func (b *Balancer) firstPollAt() time.Duration {
	slotLength := min(float64(firstPollSpacing), float64(firstPollSpread)/float64(max(1, b.settings.NodeCount)))
	wait := (float64(b.settings.NodeIndex) + b.rng.Float64()) * slotLength
	return b.now + b.withinPollPeriod(wait)
}

// pollDiscovery polls discovery, unless discovery pushes updates, the node is subscribed, or a poll is in progress.
func (b *Balancer) pollDiscovery() {
	if b.settings.PollDiscovery && !b.subscribed && !b.polling {
		b.polling = true
		b.effects.WatchEndpoints(true)
	}
}

// recordPollSuccess records that an update from discovery has arrived. It completes a poll in progress.
func (b *Balancer) recordPollSuccess() {
	if b.polling {
		b.polling, b.subscribed, b.failedPolls = false, true, 0
	}
}

// schedulePollRetry schedules the next poll after a failed poll or a lost subscription, with backoff and jitter.
func (b *Balancer) schedulePollRetry() {
	b.polling, b.subscribed = false, false
	b.failedPolls++
	jitter := 0.5 + b.rng.Float64()
	wait := float64(pollBackoffBase) * float64(min(b.failedPolls, maxPollBackoffFactor)) * jitter
	b.effects.SetTimer(timerDiscoveryPoll, b.now+b.withinPollPeriod(wait))
}

// withinPollPeriod limits a wait, in ns, to maxPollPeriodShare of the poll period.
func (b *Balancer) withinPollPeriod(wait float64) time.Duration {
	return time.Duration(min(wait, maxPollPeriodShare*float64(b.settings.PollPeriod)))
}
