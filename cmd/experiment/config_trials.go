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
	changeInterval  = 200 * time.Millisecond
	maxApplyLatency = 7 * time.Second // bound on the time from a proposal until every node has applied it
	changedPools    = 20              // pools that changes cycle through
)

// trialResult holds measurements of one trial. Each field has the meaning of the configCluster field of the same name.
type trialResult struct {
	latency            *hdrhistogram.Histogram // latency in us
	maxCommit          time.Duration
	maxFollowerLatency time.Duration
	maxRealLatency     time.Duration
	maxPollInterval    time.Duration
	maxLateness        time.Duration
}

// runTrial proposes changes, and waits until all nodes are in sync. After a fourth of the changes it injects the
// fault, unless fault is nil.
func (c *configCluster) runTrial(ctx context.Context, changes int, fault func() error) (trialResult, error) {
	c.beginTrial()
	stopWatching := c.watchLateness()
	err := c.proposeChanges(ctx, changes, fault)
	if err == nil {
		err = c.awaitInSync(ctx)
	}
	stopWatching()
	return c.endTrial(), err
}

func (c *configCluster) beginTrial() {
	c.maxCommit = 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = hdrhistogram.New(1, (2 * syncTimeout).Microseconds(), 3)
	c.maxFollowerLatency, c.maxRealLatency, c.maxPollInterval, c.maxLateness = 0, 0, 0, 0
}

func (c *configCluster) endTrial() trialResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := trialResult{c.latency, c.maxCommit, c.maxFollowerLatency, c.maxRealLatency, c.maxPollInterval, c.maxLateness}
	c.latency = nil
	return r
}

// proposeChanges proposes n changes, one each changeInterval. After a fourth of them it injects the fault, unless
// fault is nil, and continues to propose meanwhile.
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

// poolValue returns a pool's table for the i-th change. Its servers differ from change to change.
func poolValue(i int) []byte {
	return fmt.Appendf(nil, `{"class":[{"name":"look","repeat":"safe"}],"server":[{"address":"127.1.%d.1:9000","name":"a"},{"address":"127.1.%[1]d.2:9000","name":"b"},{"address":"127.1.%[1]d.3:9000","name":"c"}]}`, i%250)
}

// watchLateness measures the delay of timers in this process, which measured latencies include, until stop is
// called. stop waits for the goroutine that measures.
func (c *configCluster) watchLateness() (stop func()) {
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

// printTrial prints a trial's result, and checks it. Each of the unaffected followers, which run from the first
// change to the last, and each real node must have applied each change.
func (c *configCluster) printTrial(out io.Writer, measured *measurements, name string, r trialResult, unaffected, changes int) error {
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	histogram := r.latency
	fmt.Fprintf(out, "%s: changes applied %d times, p50 %.3f s, p99 %.3f s, max %.3f s; streams closed so far, by reason: %s\n",
		name, histogram.TotalCount(), seconds(histogram.ValueAtQuantile(50)), seconds(histogram.ValueAtQuantile(99)), seconds(histogram.Max()), c.streamCloseCounts())
	measured.add(name+"_p50_s", "%.3f", seconds(histogram.ValueAtQuantile(50)))
	measured.add(name+"_p99_s", "%.3f", seconds(histogram.ValueAtQuantile(99)))
	measured.add(name+"_max_s", "%.3f", seconds(histogram.Max()))
	fmt.Fprintf(out, "  max: commit by the voters %.3f s, latency at a follower %.3f s, timer delay in this process %.3f s\n",
		r.maxCommit.Seconds(), r.maxFollowerLatency.Seconds(), r.maxLateness.Seconds())
	measured.add(name+"_agreed_max_s", "%.3f", r.maxCommit.Seconds())
	measured.add(name+"_hollow_max_s", "%.3f", r.maxFollowerLatency.Seconds())
	measured.add(name+"_held_s", "%.3f", r.maxLateness.Seconds())
	if len(c.realNodes) > 0 {
		fmt.Fprintf(out, "  max: latency until a real node's metrics show a change %.3f s, time between two polls %.3f s\n", r.maxRealLatency.Seconds(), r.maxPollInterval.Seconds())
		measured.add(name+"_real_max_s", "%.3f", r.maxRealLatency.Seconds())
		measured.add(name+"_real_asked_s", "%.3f", r.maxPollInterval.Seconds())
	}
	if worst := time.Duration(histogram.Max()) * time.Microsecond; worst > maxApplyLatency {
		return fmt.Errorf("%w: %s: a node applied a change after %v, want at most %v", errBound, name, worst, maxApplyLatency)
	}
	if want := int64((unaffected + len(c.realNodes)) * changes); histogram.TotalCount() < want {
		return fmt.Errorf("%w: %s: changes were applied %d times, want at least %d", errBound, name, histogram.TotalCount(), want)
	}
	return nil
}
