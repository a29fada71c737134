package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/fleetsim"
)

const (
	// pauseTime is how long one member is paused and another one receives nothing from half of the members. It
	// is shorter than the time after which the failure detector declares a member failed.
	pauseTime = 2 * time.Second
	// partitionTime is how long a region is partitioned. It is longer than the time after which the failure
	// detector declares its members failed.
	partitionTime = 15 * time.Second
	// regions is the number of regions, one of which is partitioned.
	regions = 4
)

// ErrQuotaExceeded is returned if the sum of the processes' quotas was more than 1.
var ErrQuotaExceeded = errors.New("quotas exceed 1")

// memberCosts are the costs of membership in a fleet of one size.
type memberCosts struct {
	byteRate, corePercent, memoryMB float64 // costs of one member while nothing changes
	changeByteRate                  float64 // bytes a second from a kill until all members know of the next incarnation
	// Seconds until all members know of a change.
	startSeconds, killSeconds, restartSeconds, healSeconds float64
}

// measureChanges measures a fleet that has just been started, idle and through several changes.
func (m *mixedFleet) measureChanges(ctx context.Context, idleTime time.Duration) (c memberCosts, err error) {
	took, err := m.awaitEqualQuotas(ctx)
	if err != nil {
		return c, err
	}
	c.startSeconds = took.Seconds()
	emulator.Sleep(ctx, idleTime/2) // wait until the gossip about the start has ended
	if err := m.measureIdle(ctx, idleTime, &c); err != nil {
		return c, err
	}
	victim := m.processes - 1
	if err := m.measureKill(ctx, victim, &c); err != nil {
		return c, err
	}
	if err := m.injectShortFaults(ctx, victim); err != nil {
		return c, err
	}
	if err := m.measurePartition(ctx, &c); err != nil {
		return c, err
	}
	return c, m.checkQuotas()
}

// measureIdle measures the members while nothing changes.
func (m *mixedFleet) measureIdle(ctx context.Context, duration time.Duration, c *memberCosts) error {
	bytesBefore, began := m.sentBytes(), time.Now()
	cpuBefore, err := m.processorTime()
	if err != nil {
		return err
	}
	emulator.Sleep(ctx, duration)
	seconds := time.Since(began).Seconds()
	cpuAfter, err := m.processorTime()
	if err != nil {
		return err
	}
	c.byteRate = float64(m.sentBytes()-bytesBefore) / seconds / float64(len(m.gossipers))
	c.corePercent = 100 * atLeastOneTick(cpuAfter-cpuBefore).Seconds() / seconds / float64(m.processes)
	memory, err := m.Process(m.processes - 1).AnonymousMemory()
	c.memoryMB = float64(memory) / 1e6
	return err
}

// measureKill measures the kill of a member and its restart.
func (m *mixedFleet) measureKill(ctx context.Context, victim int, c *memberCosts) error {
	bytesBefore, began := m.sentBytes(), time.Now()
	m.Kill(victim)
	took, err := m.awaitUnreachable(ctx, victim)
	if err != nil {
		return err
	}
	c.killSeconds = took.Seconds()
	if err := m.Start(victim); err != nil {
		return err
	}
	if took, err = m.awaitEqualQuotas(ctx); err != nil {
		return err
	}
	c.restartSeconds = took.Seconds()
	c.changeByteRate = float64(m.sentBytes()-bytesBefore) / time.Since(began).Seconds() / float64(len(m.gossipers))
	return nil
}

// injectShortFaults injects faults that are too short to change the membership: one process is paused, and
// another one receives nothing from half of the members.
func (m *mixedFleet) injectShortFaults(ctx context.Context, victim int) error {
	const halfPartitioned = 1
	if err := m.Pause(true, victim); err != nil {
		return err
	}
	for i := range m.size() / 2 {
		m.SetLink(i, halfPartitioned, testbed.Link{Partitioned: i != halfPartitioned})
	}
	emulator.Sleep(ctx, pauseTime)
	m.SetAllLinks(testbed.Link{})
	if err := m.Pause(false, victim); err != nil {
		return err
	}
	_, err := m.awaitEqualQuotas(ctx)
	return err
}

// measurePartition partitions a region, which has processes and gossipers, and measures how long it takes until
// all members reach each other after the partition has healed.
func (m *mixedFleet) measurePartition(ctx context.Context, c *memberCosts) error {
	inRegion := func(i int) bool { return i%regions == regions-1 }
	m.Partition(inRegion, true)
	emulator.Sleep(ctx, partitionTime)
	m.Partition(inRegion, false)
	took, err := m.awaitReachable(ctx)
	c.healSeconds = took.Seconds()
	return err
}

// checkQuotas checks that the sum of the processes' quotas was never more than 1.
func (m *mixedFleet) checkQuotas() error {
	maxSum, at, err := m.MaxQuotaSum()
	if err == nil && maxSum > 1+quotaTolerance {
		err = fmt.Errorf("%w: %v at %v", ErrQuotaExceeded, maxSum, at)
	}
	return err
}

// membersTrial measures the cost of membership by the number of members: fleets on real sockets, some of whose
// members are processes, and fleets in virtual time.
func membersTrial(ctx context.Context, o Options) (found Findings, err error) {
	base := Slope{Role: "node: members", SizeUnit: "members", Stated: float64(o.Nodes), Runs: 1}
	if !o.Small { // a small run has no time for that many processes
		if err := o.measureFleets(ctx, base, &found); err != nil {
			return found, err
		}
	}
	return found, o.measureVirtualFleets(ctx, base, &found)
}

// measureFleets measures fleets on real sockets.
func (o Options) measureFleets(ctx context.Context, base Slope, found *Findings) error {
	const processes, idleTime = 12, 16 * time.Second
	byteRate := base.forFigure("bytes sent at rest", "bytes/s", o.ByteRate)
	changeByteRate := base.forFigure("bytes sent as one is killed and comes back", "bytes/s", o.ByteRate)
	cpu := base.forFigure("processor time at rest", "% of a core", o.corePercent())
	memory := base.forFigure("memory", "MB", o.MemoryMB)
	start := base.forFigure("all begin until all know", "s", 0)
	kill := base.forFigure("a kill until all know", "s", 0)
	restart := base.forFigure("a next life until all know", "s", 0)
	heal := base.forFigure("a region's return until all know", "s", 0)
	for _, n := range []int{15, 30, 60, 90} {
		c, err := o.measureFleet(ctx, n, processes, idleTime)
		if err != nil {
			return fmt.Errorf("%d members: %w", n, err)
		}
		fmt.Fprintf(o.Log, "%d members: %+v\n", n, c)
		byteRate.add(n, c.byteRate)
		changeByteRate.add(n, c.changeByteRate)
		cpu.add(n, c.corePercent)
		memory.add(n, c.memoryMB)
		start.add(n, c.startSeconds)
		kill.add(n, c.killSeconds)
		restart.add(n, c.restartSeconds)
		heal.add(n, c.healSeconds)
	}
	found.Slopes = append(found.Slopes, *byteRate, *changeByteRate, *cpu, *memory, *start, *kill, *restart, *heal)
	found.notef("%d processes of the program in each fleet, the other members only gossip; bytes are those of the latter, processor time and memory those of processes; one idle run of %v", processes, idleTime)
	found.notef("one process was killed; for 2 s one was paused and one received nothing from half of the members; a quarter of the fleet was partitioned for %v: the processes' quotas added up to at most 1", partitionTime)
	return nil
}

// measureFleet starts one fleet, measures it and closes it.
func (o Options) measureFleet(ctx context.Context, n, processes int, idleTime time.Duration) (memberCosts, error) {
	m, err := newMixedFleet(o, n, processes)
	if err != nil {
		return memberCosts{}, err
	}
	defer m.close()
	return m.measureChanges(ctx, idleTime)
}

// measureVirtualFleets measures fleets in virtual time.
func (o Options) measureVirtualFleets(ctx context.Context, base Slope, found *Findings) error {
	const loss = 0.1
	sizes := o.sizes([]int{8, 12, 16, 24}, 38, 75, 150, 300)
	bytes := base.forFigure("bytes through five changes, in virtual time", "bytes/s", o.ByteRate)
	known := base.forFigure("the slowest of five changes until all know, in virtual time", "s", 0)
	for _, n := range sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		changes := []fleetsim.Change{fleetsim.Begin, fleetsim.Join, fleetsim.Leave, fleetsim.Restart, fleetsim.Partition}
		r, err := fleetsim.Members{Count: n, Loss: loss, Seed: membersSeed, Changes: changes}.Run()
		if err != nil {
			return fmt.Errorf("%d members in virtual time: %w", n, err)
		}
		slowest := time.Duration(0)
		for _, k := range r.Changes {
			slowest = max(slowest, k.After)
		}
		bytes.add(n, r.Bytes)
		known.add(n, slowest.Seconds())
	}
	found.Slopes = append(found.Slopes, *bytes, *known)
	found.notef("in virtual time a tenth of the records is lost; each change starts as soon as all members know of the one before")
	return nil
}
