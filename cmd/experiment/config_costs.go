package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"jasperpin/internal/configlog"
)

const (
	idleSpan       = 10 * time.Second // for bytes, memory and processor time
	startAftermath = 2 * time.Second  // for what is left of nodes' starts
	costChanges    = 100              // by which a real node's cost of one is measured
	changesADay    = 2500.0
	secondsADay    = 86400
)

// followerCosts are what this process has used, and its followers have sent and received, so far.
type followerCosts struct {
	cpu   time.Duration
	bytes int64
}

func (c *configCluster) followerCosts() (costs followerCosts) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it fails for wrong arguments alone
	costs.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	for _, n := range c.followers {
		s := n.Status()
		costs.bytes += s.ReceivedBytes + s.SentBytes
	}
	return costs
}

// nodeCosts are costs of one node.
type nodeCosts struct{ cpuUS, bytes float64 }

// since is what each of n nodes has cost since earlier costs, by second of a span.
func (f followerCosts) since(before followerCosts, n int, span time.Duration) nodeCosts {
	each := float64(n) * span.Seconds()
	return nodeCosts{float64((f.cpu - before.cpu).Microseconds()) / each, float64(f.bytes-before.bytes) / each}
}

// streamsLeft says why followers have left streams so far.
func (c *configCluster) streamsLeft() string {
	all := make(map[configlog.CloseReason]int)
	for _, n := range c.followers {
		for why, times := range n.Status().CloseCounts {
			all[why] += times
		}
	}
	return fmt.Sprint(all)
}

// measureIdleCosts measures followers, a relay and the voters while nothing changes. emptyRelay is the memory
// of the relay without streams. It returns what a follower costs a second.
func (c *configCluster) measureIdleCosts(out io.Writer, m *measurements, emptyRelay int) (idle nodeCosts, err error) {
	relay := c.relays[0]
	time.Sleep(startAftermath)
	relayBefore, err := relay.CPU()
	if err != nil {
		return idle, err
	}
	before := c.followerCosts()
	time.Sleep(idleSpan)
	idle = c.followerCosts().since(before, len(c.followers), idleSpan)
	relayAfter, err := relay.CPU()
	if err != nil {
		return idle, err
	}
	fullRelay, err := relay.AnonymousMemory()
	if err != nil {
		return idle, err
	}
	streams := 0
	for _, n := range c.followers {
		if n.Status().Relay == c.relayAddrs[0].Name {
			streams++
		}
	}
	relayPercent := 100 * (relayAfter - relayBefore).Seconds() / idleSpan.Seconds()
	kbPerStream := float64(fullRelay-emptyRelay) / 1024 / float64(max(streams, 1))
	fmt.Fprintf(out, "at rest, a node: %.1f bytes/s both ways, %.4f%% of a core, with the asking of real nodes' doors; relay 0 serves %d: %.2f%% of a core, %d kB, %.1f kB a stream beyond %d kB\n",
		idle.bytes, idle.cpuUS/1e4, streams, relayPercent, fullRelay>>10, kbPerStream, emptyRelay>>10)
	voterMemory, err := c.maxVoterMemory()
	if err != nil {
		return idle, err
	}
	fmt.Fprintf(out, "a voter has %d kB at the most; streams left so far: %s\n", voterMemory>>10, c.streamsLeft())
	m.add("voter_kb", "%d", voterMemory>>10)
	m.add("rest_bytes_s", "%.1f", idle.bytes)
	m.add("rest_cpu_pct", "%.4f", idle.cpuUS/1e4)
	m.add("relay_streams", "%d", streams)
	m.add("relay_kb_stream", "%.1f", kbPerStream)
	m.add("relay_rest_cpu_pct", "%.2f", relayPercent)
	return idle, nil
}

// maxVoterMemory is the memory of the largest voter, in bytes.
func (c *configCluster) maxVoterMemory() (most int, err error) {
	for _, v := range c.voters {
		bytes, err := v.AnonymousMemory()
		if err != nil {
			return 0, err
		}
		most = max(most, bytes)
	}
	return most, nil
}

// realNodeCosts are what real nodes have used so far: processor time on average, and most memory of any.
type realNodeCosts struct {
	cpu                time.Duration
	memory, peakMemory int // bytes
}

func (c *configCluster) realNodeCosts() (costs realNodeCosts, err error) {
	for _, n := range c.realNodes {
		cpu, cpuErr := n.CPU()
		memory, memoryErr := n.AnonymousMemory()
		peak, peakErr := n.PeakMemory()
		costs.cpu += cpu / time.Duration(len(c.realNodes))
		costs.memory, costs.peakMemory = max(costs.memory, memory), max(costs.peakMemory, peak)
		err = errors.Join(err, cpuErr, memoryErr, peakErr)
	}
	return costs, err
}

// measureRealNodes measures what real nodes' start has cost, and what a change costs them beyond their idle
// cost. They are not polled meanwhile.
func (c *configCluster) measureRealNodes(ctx context.Context, out io.Writer, m *measurements) error {
	if len(c.realNodes) == 0 {
		return nil
	}
	start, err := c.realNodeCosts()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a real node, at its start: %.2f s of processor time, %d kB, %d kB at its peak\n", start.cpu.Seconds(), start.memory>>10, start.peakMemory>>10)
	m.add("real_start_cpu_s", "%.2f", start.cpu.Seconds())
	m.add("real_start_kb", "%d", start.memory>>10)
	m.add("real_start_peak_kb", "%d", start.peakMemory>>10)
	c.pollingPaused.Store(true)
	defer c.pollingPaused.Store(false)
	if err := c.measureRealChanges(ctx, out, m); err != nil {
		return err
	}
	c.pollingPaused.Store(false)
	return c.awaitInSync(ctx)
}

// measureRealChanges measures idle real nodes, and then some changes.
func (c *configCluster) measureRealChanges(ctx context.Context, out io.Writer, m *measurements) error {
	time.Sleep(startAftermath)
	idleBefore, err := c.realNodeCosts()
	if err != nil {
		return err
	}
	time.Sleep(idleSpan)
	idleAfter, err := c.realNodeCosts()
	if err != nil {
		return err
	}
	idleShare := (idleAfter.cpu - idleBefore.cpu).Seconds() / idleSpan.Seconds()
	began := time.Now()
	if err := c.proposeChanges(ctx, costChanges, nil); err != nil {
		return err
	}
	time.Sleep(time.Second) // until the last ones are in force; the idle cost is taken off
	seconds := time.Since(began).Seconds()
	changed, err := c.realNodeCosts()
	if err != nil {
		return err
	}
	changeMS := ((changed.cpu - idleAfter.cpu).Seconds() - idleShare*seconds) / costChanges * 1000
	fmt.Fprintf(out, "a real node, at rest: %.2f%% of a core; a change: %.2f ms of processor time beyond that, of %d in %.1f s; then %d kB, %d kB at its peak\n",
		100*idleShare, changeMS, costChanges, seconds, changed.memory>>10, changed.peakMemory>>10)
	m.add("real_rest_cpu_pct", "%.2f", 100*idleShare)
	m.add("real_change_cpu_ms", "%.2f", changeMS)
	m.add("real_kb", "%d", changed.memory>>10)
	m.add("real_peak_kb", "%d", changed.peakMemory>>10)
	return nil
}

// printChangeCosts prints what a change costs a follower beyond its idle cost, and what a day of changes comes
// to. span is how long the changes took.
func (c *configCluster) printChangeCosts(out io.Writer, m *measurements, before, after followerCosts, idle nodeCosts, changes int, span time.Duration) {
	perChange := func(all, idlePerSecond float64) float64 {
		return max(0, all/float64(len(c.followers))-idlePerSecond*span.Seconds()) / float64(changes)
	}
	cpuUS := perChange(float64((after.cpu - before.cpu).Microseconds()), idle.cpuUS)
	bytes := perChange(float64(after.bytes-before.bytes), idle.bytes)
	dayBytes := idle.bytes + bytes*changesADay/secondsADay
	dayCPUPercent := (idle.cpuUS + cpuUS*changesADay/secondsADay) / 1e4
	fmt.Fprintf(out, "a change costs a node %.0f bytes and %.0f µs; at %.0f a day, from this slope: %.1f bytes/s, %.4f%% of a core\n",
		bytes, cpuUS, changesADay, dayBytes, dayCPUPercent)
	m.add("change_bytes", "%.0f", bytes)
	m.add("change_cpu_us", "%.0f", cpuUS)
	m.add("day_bytes_s", "%.1f", dayBytes)
	m.add("day_cpu_pct", "%.4f", dayCPUPercent)
}
