package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/gossip"
)

const (
	membersSeed     = 5
	membersRounds   = 3                // rounds of each kind of change
	maxConvergence  = 30 * time.Second // bound on the time until all members have detected a change
	partitionSpan   = 15 * time.Second // longer than the failure detector needs to declare members failed
	membersSpan     = 5 * time.Second  // duration of the measurement of bytes, processor time and suspicions
	memberPause     = 2 * time.Second  // shorter than the failure detector needs to declare members failed
	convergencePoll = 5 * time.Millisecond
	quotaTolerance  = 1e-9 // tolerance for the rounding of quotas
	pausedDivisor   = 3    // one in this many members is paused
)

// membersRun runs fleets of processes through joins, leaves, kills and partitions. It measures the time until all
// members have detected a change, the number of false suspicions, and the costs. It checks that quotas never add up
// to more than 1.
func membersRun(ctx context.Context, out io.Writer) (measurements, error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	plain, err := measurePlainNode(dir)
	if err != nil {
		return nil, err
	}
	var measured measurements
	for _, n := range []int{5, 12, 30} {
		if err := ctx.Err(); err != nil {
			return measured, err
		}
		if err := runFleet(out, &measured, filepath.Join(dir, strconv.Itoa(n)), n, plain); err != nil {
			return measured, fmt.Errorf("%d members, seed %d: %w", n, membersSeed, err)
		}
	}
	return measured, errors.Join(measureVirtualMembers(out, &measured), measureResizedFleets(out, &measured))
}

// measuredFleet is a fleet of processes that is measured.
type measuredFleet struct {
	*testbed.Fleet
	members      []int // indices of all members
	out          io.Writer
	measurements *measurements
}

// runFleet measures a fleet of n members.
func runFleet(out io.Writer, measured *measurements, dir string, n int, plain idleCost) error {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return fmt.Errorf("creating the fleet's directory: %w", err)
	}
	fleet, err := testbed.NewFleet(testbed.FleetOptions{Members: n, Dir: dir, Seed: membersSeed, StartNode: startNodeFromFile})
	if err != nil {
		return err
	}
	defer fleet.Close()
	f := &measuredFleet{Fleet: fleet, out: out, measurements: measured}
	for i := range n {
		f.members = append(f.members, i)
	}
	if err := f.measureChanges(); err != nil {
		return err
	}
	if err := f.measureIdle(plain); err != nil {
		return err
	}
	if err := f.measureSuspicions(); err != nil {
		return err
	}
	return f.checkQuotas()
}

// name returns the name of a measurement for this size of fleet.
func (f *measuredFleet) name(of string) string { return fmt.Sprintf("n%d_%s", len(f.members), of) }

// checkQuotas checks that quotas never added up to more than 1.
func (f *measuredFleet) checkQuotas() error {
	maxSum, at, err := f.MaxQuotaSum()
	if err != nil {
		return err
	}
	fmt.Fprintf(f.out, "maximum sum of quotas: %.6f, at %s\n", maxSum, at.Format("15:04:05.000"))
	f.measurements.add(f.name("most_parts"), "%.6f", maxSum)
	if maxSum > 1+quotaTolerance {
		return fmt.Errorf("%w: quotas add up to %v", errBound, maxSum)
	}
	return nil
}

// convergence holds the times, in ms, that members took to detect changes of one kind.
type convergence struct {
	change string
	*hdrhistogram.Histogram
}

func newConvergence(change string) convergence {
	return convergence{change, hdrhistogram.New(1, maxConvergence.Milliseconds(), 3)}
}

// membershipCheck reports whether the list of members at one member shows a change.
type membershipCheck func(listed []gossip.Member) bool

// await waits until each of the given members has detected a change that happens now, and records how long each
// took.
func (f *measuredFleet) await(c convergence, members []int, check membershipCheck) error {
	began := time.Now()
	var waiting sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, i := range members {
		waiting.Go(func() {
			took, err := f.awaitMember(i, began, check)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = c.RecordValue(max(1, took.Milliseconds()))
			}
			errs = append(errs, err)
		})
	}
	waiting.Wait()
	return errors.Join(errs...)
}

// awaitMember waits until one member has detected a change, and returns the time since began.
func (f *measuredFleet) awaitMember(i int, began time.Time, check membershipCheck) (time.Duration, error) {
	for time.Since(began) < maxConvergence {
		if listed, err := f.Members(i); err == nil && check(listed) {
			return time.Since(began), nil
		}
		time.Sleep(convergencePoll)
	}
	return 0, fmt.Errorf("%w: %s has not detected a change within %v", errBound, f.Name(i), maxConvergence)
}

// allServing reports whether all members are listed as serving, with equal quotas.
func (f *measuredFleet) allServing(listed []gossip.Member) bool {
	return len(listed) == len(f.members) && !slices.ContainsFunc(listed, func(o gossip.Member) bool {
		return o.State != "serving" || math.Abs(o.Quota*float64(len(f.members))-1) > quotaTolerance
	})
}

// oneHasLeft reports whether all members except one are listed.
func (f *measuredFleet) oneHasLeft(listed []gossip.Member) bool {
	return len(listed) == len(f.members)-1
}

// unreachable returns a check that a member is listed as unreachable.
func (f *measuredFleet) unreachable(member int) membershipCheck {
	return func(listed []gossip.Member) bool {
		return slices.ContainsFunc(listed, func(o gossip.Member) bool { return o.Name == f.Name(member) && !o.Reachable })
	}
}

// measureChanges starts the fleet, changes its membership, and prints how soon members detected each kind of
// change.
func (f *measuredFleet) measureChanges() error {
	if err := f.Start(f.members...); err != nil {
		return err
	}
	begin, leave, join := newConvergence("begin"), newConvergence("leave"), newConvergence("join")
	kill, back, heal := newConvergence("kill"), newConvergence("back"), newConvergence("heal")
	if err := f.await(begin, f.members, f.allServing); err != nil {
		return err
	}
	for round := range membersRounds {
		member := 1 + round%(len(f.members)-1)
		others := slices.DeleteFunc(slices.Clone(f.members), func(i int) bool { return i == member })
		if err := f.leaveAndJoin(member, others, leave, join); err != nil {
			return err
		}
		if err := f.killAndRestart(member, others, kill, back); err != nil {
			return err
		}
		if err := f.partition(heal); err != nil {
			return err
		}
	}
	return f.printConvergence(begin, leave, join, kill, back, heal)
}

// leaveAndJoin shuts a member down, and restarts it.
func (f *measuredFleet) leaveAndJoin(member int, others []int, leave, join convergence) error {
	ended := make(chan error, 1)
	go func() { ended <- f.Process(member).Terminate() }()
	err := f.await(leave, others, f.oneHasLeft)
	if err = errors.Join(err, <-ended, f.AwaitExit(member), f.Start(member)); err != nil {
		return err
	}
	return f.await(join, f.members, f.allServing)
}

// killAndRestart kills a member, and restarts it.
func (f *measuredFleet) killAndRestart(member int, others []int, kill, back convergence) error {
	f.Kill(member)
	if err := f.await(kill, others, f.unreachable(member)); err != nil {
		return err
	}
	if err := f.Start(member); err != nil {
		return err
	}
	return f.await(back, f.members, f.allServing)
}

// partition partitions the fleet into two halves for partitionSpan.
func (f *measuredFleet) partition(heal convergence) error {
	even := func(i int) bool { return i%2 == 0 }
	f.Partition(even, true)
	time.Sleep(partitionSpan)
	f.Partition(even, false)
	return f.await(heal, f.members, f.allServing)
}

func (f *measuredFleet) printConvergence(changes ...convergence) error {
	w := tabwriter.NewWriter(f.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d members: ms until a change is detected\tp50\tp99\tmax\n", len(f.members))
	for _, c := range changes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", c.change, c.ValueAtQuantile(50), c.ValueAtQuantile(99), c.Max())
		f.measurements.add(f.name(c.change+"_p99_ms"), "%d", c.ValueAtQuantile(99))
	}
	return w.Flush()
}

// sentBytes returns the bytes that all members have sent so far.
func (f *measuredFleet) sentBytes() (sum uint64, err error) {
	for _, i := range f.members {
		listed, err := f.Members(i)
		if err != nil {
			return 0, err
		}
		for _, o := range listed {
			if o.Counts != nil { // a member lists counts only for itself
				sum += o.Sent
			}
		}
	}
	return sum, nil
}

// measureIdle measures the traffic, processor time and memory of an idle member. plain is the cost of a node without
// a fleet, for comparison.
func (f *measuredFleet) measureIdle(plain idleCost) error {
	process := f.Process(len(f.members) - 1)
	bytesBefore, err := f.sentBytes()
	if err != nil {
		return err
	}
	cpuBefore, err := process.CPU()
	if err != nil {
		return err
	}
	time.Sleep(membersSpan)
	cpuAfter, err := process.CPU()
	if err != nil {
		return err
	}
	bytesAfter, err := f.sentBytes()
	if err != nil {
		return err
	}
	memory, err := process.AnonymousMemory()
	if err != nil {
		return err
	}
	byteRate := float64(bytesAfter-bytesBefore) / membersSpan.Seconds() / float64(len(f.members))
	corePercent := 100 * (cpuAfter - cpuBefore).Seconds() / membersSpan.Seconds()
	fmt.Fprintf(f.out, "idle member: %.0f bytes/s sent, %.2f%% of a core, %d KiB; node without a fleet: %.2f%% of a core, %d KiB\n",
		byteRate, corePercent, memory>>10, plain.corePercent(), plain.kb)
	f.measurements.add(f.name("bytes_a_second"), "%.0f", byteRate)
	f.measurements.add(f.name("core_percent"), "%.2f", corePercent)
	f.measurements.add(f.name("kib"), "%d", memory>>10)
	return nil
}

// reachableLog matches the log line in which a member reports how many members may serve, and how many of them are
// reachable.
var reachableLog = regexp.MustCompile(`msg=members may_serve=(\d+) heard=(\d+)`)

// countSuspicions counts how often members have found others unreachable so far, from their logs.
func (f *measuredFleet) countSuspicions() (n int) {
	for _, i := range f.members {
		unreachableBefore := 0
		for _, found := range reachableLog.FindAllStringSubmatch(f.Process(i).Logged(), -1) {
			serving, _ := strconv.Atoi(found[1]) // the pattern matches digits only
			reachable, _ := strconv.Atoi(found[2])
			n += max(0, serving-reachable-unreachableBefore)
			unreachableBefore = serving - reachable
		}
	}
	return n
}

// disturbance is a condition under which no member should be found unreachable.
type disturbance struct {
	name       string
	begin, end func() error
}

// disturbances returns the conditions: none, two rates of packet loss, and a pause of some members.
func (f *measuredFleet) disturbances() []disturbance {
	nothing := func() error { return nil }
	setLoss := func(loss float64) func() error {
		return func() error { f.SetAllLinks(testbed.Link{Loss: loss}); return nil }
	}
	pauseSome := func() error {
		some := f.members[:max(1, len(f.members)/pausedDivisor)]
		if err := f.Pause(true, some...); err != nil {
			return err
		}
		time.Sleep(memberPause)
		return f.Pause(false, some...)
	}
	return []disturbance{
		{"loss0", nothing, nothing},
		{"loss5", setLoss(0.05), setLoss(0)},
		{"loss30", setLoss(0.3), setLoss(0)},
		{"pause", pauseSome, nothing},
	}
}

// measureSuspicions counts how often running members are found unreachable under each disturbance.
func (f *measuredFleet) measureSuspicions() error {
	hours := membersSpan.Hours() * float64(len(f.members))
	for _, d := range f.disturbances() {
		before := f.countSuspicions()
		if err := d.begin(); err != nil {
			return err
		}
		time.Sleep(membersSpan)
		if err := d.end(); err != nil {
			return err
		}
		if err := f.await(newConvergence(d.name), f.members, f.allServing); err != nil {
			return err
		}
		falseSuspicions := f.countSuspicions() - before
		fmt.Fprintf(f.out, "%s: %d false suspicions, %.0f per member and hour\n", d.name, falseSuspicions, float64(falseSuspicions)/hours)
		f.measurements.add(f.name(d.name+"_wrong"), "%d", falseSuspicions)
	}
	return nil
}
