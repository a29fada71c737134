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
	idleSpan        = 10 * time.Second // duration of the measurement of bytes, memory and processor time
	startSettleTime = 2 * time.Second  // time until the work of nodes' starts has ended
	measuredChanges = 100              // number of changes over which a real node's cost of a change is averaged
	changesPerDay   = 2500.0
	secondsPerDay   = 86400
)

// followerCosts are the processor time that this process has used, and the bytes that its followers have sent and
// received, so far.
type followerCosts struct {
	cpu   time.Duration
	bytes int64
}

func (c *configCluster) followerCosts() (costs followerCosts) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for invalid arguments
	costs.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	for _, n := range c.followers {
		s := n.Status()
		costs.bytes += s.ReceivedBytes + s.SentBytes
	}
	return costs
}

// nodeCosts are the costs of one node per second.
type nodeCosts struct{ cpuUS, bytes float64 }

// perNodeSecondSince returns the costs of each of n nodes per second of span, which began with the costs before.
func (f followerCosts) perNodeSecondSince(before followerCosts, n int, span time.Duration) nodeCosts {
	each := float64(n) * span.Seconds()
	return nodeCosts{float64((f.cpu - before.cpu).Microseconds()) / each, float64(f.bytes-before.bytes) / each}
}

// streamCloseCounts returns how often followers have closed streams so far, by reason.
func (c *configCluster) streamCloseCounts() string {
	all := make(map[configlog.CloseReason]int)
	for _, n := range c.followers {
		for reason, times := range n.Status().CloseCounts {
			all[reason] += times
		}
	}
	return fmt.Sprint(all)
}

// measureIdleCosts measures followers, a relay and the voters while nothing changes. emptyRelayMemory is the
// memory of the relay without streams, in bytes. It returns the costs of a follower.
func (c *configCluster) measureIdleCosts(out io.Writer, measured *measurements, emptyRelayMemory int) (idle nodeCosts, err error) {
	relay := c.relays[0]
	time.Sleep(startSettleTime)
	relayBefore, err := relay.CPU()
	if err != nil {
		return idle, err
	}
	before := c.followerCosts()
	time.Sleep(idleSpan)
	idle = c.followerCosts().perNodeSecondSince(before, len(c.followers), idleSpan)
	relayAfter, err := relay.CPU()
	if err != nil {
		return idle, err
	}
	fullRelayMemory, err := relay.AnonymousMemory()
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
	kbPerStream := float64(fullRelayMemory-emptyRelayMemory) / 1024 / float64(max(streams, 1))
	fmt.Fprintf(out, "idle follower: %.1f bytes/s sent and received, %.4f%% of a core, including polls of real nodes; relay 0 with %d streams: %.2f%% of a core, %d kB, %.1f kB per stream beyond %d kB\n",
		idle.bytes, idle.cpuUS/1e4, streams, relayPercent, fullRelayMemory>>10, kbPerStream, emptyRelayMemory>>10)
	voterMemory, err := c.maxVoterMemory()
	if err != nil {
		return idle, err
	}
	fmt.Fprintf(out, "largest voter: %d kB; streams closed so far, by reason: %s\n", voterMemory>>10, c.streamCloseCounts())
	measured.add("voter_kb", "%d", voterMemory>>10)
	measured.add("rest_bytes_s", "%.1f", idle.bytes)
	measured.add("rest_cpu_pct", "%.4f", idle.cpuUS/1e4)
	measured.add("relay_streams", "%d", streams)
	measured.add("relay_kb_stream", "%.1f", kbPerStream)
	measured.add("relay_rest_cpu_pct", "%.2f", relayPercent)
	return idle, nil
}

// maxVoterMemory returns the memory of the largest voter, in bytes.
func (c *configCluster) maxVoterMemory() (maxMemory int, err error) {
	for _, v := range c.voters {
		bytes, err := v.AnonymousMemory()
		if err != nil {
			return 0, err
		}
		maxMemory = max(maxMemory, bytes)
	}
	return maxMemory, nil
}

// realNodeCosts are the costs of real nodes so far: their average processor time, and the memory of the largest.
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

// measureRealNodes measures the cost of starting a real node, and the cost of a change beyond that of an idle node.
// It pauses polling meanwhile.
func (c *configCluster) measureRealNodes(ctx context.Context, out io.Writer, measured *measurements) error {
	if len(c.realNodes) == 0 {
		return nil
	}
	start, err := c.realNodeCosts()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "start of a real node: %.2f s of processor time, %d kB, %d kB at its peak\n", start.cpu.Seconds(), start.memory>>10, start.peakMemory>>10)
	measured.add("real_start_cpu_s", "%.2f", start.cpu.Seconds())
	measured.add("real_start_kb", "%d", start.memory>>10)
	measured.add("real_start_peak_kb", "%d", start.peakMemory>>10)
	c.pollingPaused.Store(true)
	defer c.pollingPaused.Store(false)
	if err := c.measureRealChanges(ctx, out, measured); err != nil {
		return err
	}
	c.pollingPaused.Store(false)
	return c.awaitInSync(ctx)
}

// measureRealChanges measures real nodes while they are idle, and then while they apply some changes.
func (c *configCluster) measureRealChanges(ctx context.Context, out io.Writer, measured *measurements) error {
	time.Sleep(startSettleTime)
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
	if err := c.proposeChanges(ctx, measuredChanges, nil); err != nil {
		return err
	}
	time.Sleep(time.Second) // wait until the last changes are applied; the idle cost is subtracted
	seconds := time.Since(began).Seconds()
	changed, err := c.realNodeCosts()
	if err != nil {
		return err
	}
	changeMS := ((changed.cpu - idleAfter.cpu).Seconds() - idleShare*seconds) / measuredChanges * 1000
	fmt.Fprintf(out, "idle real node: %.2f%% of a core; a change adds %.2f ms of processor time, averaged over %d in %.1f s; afterwards %d kB, %d kB at its peak\n",
		100*idleShare, changeMS, measuredChanges, seconds, changed.memory>>10, changed.peakMemory>>10)
	measured.add("real_rest_cpu_pct", "%.2f", 100*idleShare)
	measured.add("real_change_cpu_ms", "%.2f", changeMS)
	measured.add("real_kb", "%d", changed.memory>>10)
	measured.add("real_peak_kb", "%d", changed.peakMemory>>10)
	return nil
}

// printChangeCosts prints the cost of a change at a follower beyond its idle cost, and extrapolates it to a day of
// changes. span is how long the changes took.
func (c *configCluster) printChangeCosts(out io.Writer, measured *measurements, before, after followerCosts, idle nodeCosts, changes int, span time.Duration) {
	perChange := func(all, idlePerSecond float64) float64 {
		return max(0, all/float64(len(c.followers))-idlePerSecond*span.Seconds()) / float64(changes)
	}
	cpuUS := perChange(float64((after.cpu - before.cpu).Microseconds()), idle.cpuUS)
	bytes := perChange(float64(after.bytes-before.bytes), idle.bytes)
	dayBytes := idle.bytes + bytes*changesPerDay/secondsPerDay
	dayCPUPercent := (idle.cpuUS + cpuUS*changesPerDay/secondsPerDay) / 1e4
	fmt.Fprintf(out, "a change costs a node %.0f bytes and %.0f µs; extrapolated to %.0f changes a day: %.1f bytes/s, %.4f%% of a core\n",
		bytes, cpuUS, changesPerDay, dayBytes, dayCPUPercent)
	measured.add("change_bytes", "%.0f", bytes)
	measured.add("change_cpu_us", "%.0f", cpuUS)
	measured.add("day_bytes_s", "%.1f", dayBytes)
	measured.add("day_cpu_pct", "%.4f", dayCPUPercent)
}
