package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/configlog"
)

const (
	changeInterval = 200 * time.Millisecond
	maxInForce     = 7 * time.Second // bound, from a proposal until it is in force at every node
	changedPools   = 20              // that changes go round
)

// trialResult is what was seen of the changes of one trial.
type trialResult struct {
	latency     *hdrhistogram.Histogram // in us
	maxCommit   time.Duration
	maxFollower time.Duration
	maxReal     time.Duration
	maxPoll     time.Duration
	maxLateness time.Duration
}

// runTrial proposes changes, injects a fault after a fourth of them, and waits until all nodes are in sync.
func (c *configCluster) runTrial(ctx context.Context, changes int, fault func() error) (trialResult, error) {
	c.beginTrial()
	endWatch := c.watchLateness()
	err := c.proposeChanges(ctx, changes, fault)
	if err == nil {
		err = c.awaitInSync(ctx)
	}
	endWatch()
	return c.endTrial(), err
}

func (c *configCluster) beginTrial() {
	c.maxCommit = 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = hdrhistogram.New(1, (2 * syncTimeout).Microseconds(), 3)
	c.maxFollower, c.maxReal, c.maxPoll, c.maxLateness = 0, 0, 0, 0
}

func (c *configCluster) endTrial() trialResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := trialResult{c.latency, c.maxCommit, c.maxFollower, c.maxReal, c.maxPoll, c.maxLateness}
	c.latency = nil
	return r
}

// proposeChanges proposes changes, one each changeInterval. After a fourth of them it injects a fault, if one
// is given, while it goes on proposing.
func (c *configCluster) proposeChanges(ctx context.Context, n int, fault func() error) error {
	injected := make(chan error, 1)
	interval := time.NewTicker(changeInterval)
	defer interval.Stop()
	for i := range n {
		if i == n/4 && fault != nil {
			go func() { injected <- fault() }()
		}
		record := configlog.Record{Key: configlog.PoolKey(fmt.Sprint("pool-", i%changedPools)), Value: poolValue(i + 1)}
		if err := c.propose(ctx, record); err != nil {
			return err
		}
		<-interval.C
	}
	if fault == nil {
		return nil
	}
	return <-injected
}

// poolValue is a pool's table, with servers that differ from change to change.
func poolValue(i int) []byte {
	return fmt.Appendf(nil, `{"class":[{"name":"look","repeat":"safe"}],"server":[{"address":"127.1.%d.1:9000","name":"a"},{"address":"127.1.%[1]d.2:9000","name":"b"},{"address":"127.1.%[1]d.3:9000","name":"c"}]}`, i%250)
}

// watchLateness notes how late this process does what it has to do at a time, until end is called: latencies
// include that. end waits for its goroutine.
func (c *configCluster) watchLateness() (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() {
		for ctx.Err() == nil {
			due := time.Now().Add(minPoll)
			time.Sleep(minPoll)
			c.mu.Lock()
			c.maxLateness = max(c.maxLateness, time.Since(due))
			c.mu.Unlock()
		}
	})
	return func() { cancel(); watching.Wait() }
}

// printTrial prints a trial's result, and checks it. Of the nodes those that stayed, from the first change to
// the last, and the real ones must have had each change in force.
func (c *configCluster) printTrial(out io.Writer, m *measurements, name string, r trialResult, stayed, changes int) error {
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	h := r.latency
	fmt.Fprintf(out, "%s: %d times in force, p50 %.3f s, p99 %.3f s, at the most %.3f s; streams left so far: %s\n",
		name, h.TotalCount(), seconds(h.ValueAtQuantile(50)), seconds(h.ValueAtQuantile(99)), seconds(h.Max()), c.streamsLeft())
	m.add(name+"_p50_s", "%.3f", seconds(h.ValueAtQuantile(50)))
	m.add(name+"_p99_s", "%.3f", seconds(h.ValueAtQuantile(99)))
	m.add(name+"_max_s", "%.3f", seconds(h.Max()))
	fmt.Fprintf(out, "  the voters agreed after %.3f s at the most; at a hollow node %.3f s at the most; this process was held up for %.3f s at the most\n",
		r.maxCommit.Seconds(), r.maxFollower.Seconds(), r.maxLateness.Seconds())
	m.add(name+"_agreed_max_s", "%.3f", r.maxCommit.Seconds())
	m.add(name+"_hollow_max_s", "%.3f", r.maxFollower.Seconds())
	m.add(name+"_held_s", "%.3f", r.maxLateness.Seconds())
	if len(c.realNodes) > 0 {
		fmt.Fprintf(out, "  until a real node's door told of it %.3f s at the most; it was asked each %.3f s at the most\n", r.maxReal.Seconds(), r.maxPoll.Seconds())
		m.add(name+"_real_max_s", "%.3f", r.maxReal.Seconds())
		m.add(name+"_real_asked_s", "%.3f", r.maxPoll.Seconds())
	}
	if worst := time.Duration(h.Max()) * time.Microsecond; worst > maxInForce {
		return fmt.Errorf("%w: %s: a change was in force everywhere after %v, want %v", errBound, name, worst, maxInForce)
	}
	if want := int64((stayed + len(c.realNodes)) * changes); h.TotalCount() < want {
		return fmt.Errorf("%w: %s: changes were in force %d times, want %d at least", errBound, name, h.TotalCount(), want)
	}
	return nil
}
