package decide

import "time"

const (
	// The first polls of the fleet's nodes are spread, as all may start at once and discovery serves few
	// calls a second: by firstPollSpacing from one node to the next, and over firstPollSpread at the most.
	firstPollSpacing = 250 * time.Millisecond
	firstPollSpread  = 2 * time.Second
	// maxPollPeriodShare bounds every wait for a poll, as a share of Settings.PollPeriod.
	maxPollPeriodShare = 0.6
	// pollBackoffBase is the mean wait after a failed poll. It grows with each failure in a row, to
	// maxPollBackoffFactor times as much.
	pollBackoffBase      = 1500 * time.Millisecond
	maxPollBackoffFactor = 3
)

// discoveryPoll is the state of the call to discovery. A poll that succeeds is a subscription until a later
// one fails.
type discoveryPoll struct {
	subscribed  bool // updates come by themselves
	polling     bool // a poll has no answer yet
	failedPolls int  // in a row
}

// firstPollAt returns when a node that starts now polls discovery first: in its slot among all nodes, at a
// random moment of it.
func (b *Balancer) firstPollAt() time.Duration {
	slotLength := min(float64(firstPollSpacing), float64(firstPollSpread)/float64(max(1, b.settings.NodeCount)))
	wait := (float64(b.settings.NodeIndex) + b.rng.Float64()) * slotLength
	return b.now + b.withinPollPeriod(wait)
}

// pollDiscovery polls discovery, unless it pushes updates or a poll or a subscription stands.
func (b *Balancer) pollDiscovery() {
	if b.settings.PollDiscovery && !b.subscribed && !b.polling {
		b.polling = true
		b.effects.WatchEndpoints(true)
	}
}

// recordPollSuccess notes an update from discovery: it answers a poll that stands.
func (b *Balancer) recordPollSuccess() {
	if b.polling {
		b.polling, b.subscribed, b.failedPolls = false, true, 0
	}
}

// schedulePollRetry has a failed poll, or a subscription that broke, followed by another one after a
// backoff with jitter.
func (b *Balancer) schedulePollRetry() {
	b.polling, b.subscribed = false, false
	b.failedPolls++
	jitter := 0.5 + b.rng.Float64()
	wait := float64(pollBackoffBase) * float64(min(b.failedPolls, maxPollBackoffFactor)) * jitter
	b.effects.SetTimer(timerDiscoveryPoll, b.now+b.withinPollPeriod(wait))
}

// withinPollPeriod bounds a wait, in ns.
func (b *Balancer) withinPollPeriod(wait float64) time.Duration {
	return time.Duration(min(wait, maxPollPeriodShare*float64(b.settings.PollPeriod)))
}
