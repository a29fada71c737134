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
	membersRounds   = 3                // of each change
	maxConvergence  = 30 * time.Second // bound, until all know of a change
	partitionSpan   = 15 * time.Second // longer than it takes to hold the others for dead
	membersSpan     = 5 * time.Second  // for bytes, processor time and suspicions
	memberPause     = 2 * time.Second  // shorter than that
	convergencePoll = 5 * time.Millisecond
	quotaTolerance  = 1e-9 // for the rounding of quotas
	pausedDivisor   = 3    // of how many members one is paused
)

// membersRun runs fleets of processes through joins, leaves, kills and partitions, and measures how soon all
// know, who is suspected wrongly and what it costs. Quotas never add up to more than 1.
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
	var m measurements
	for _, n := range []int{5, 12, 30} {
		if err := ctx.Err(); err != nil {
			return m, err
		}
		if err := runFleet(out, &m, filepath.Join(dir, strconv.Itoa(n)), n, plain); err != nil {
			return m, fmt.Errorf("%d members, seed %d: %w", n, membersSeed, err)
		}
	}
	return m, errors.Join(measureVirtualMembers(out, &m), measureResizedFleets(out, &m))
}

// measuredFleet is a fleet of processes that is measured.
type measuredFleet struct {
	*testbed.Fleet
	members      []int // all
	out          io.Writer
	measurements *measurements
}

// runFleet measures a fleet of n members.
func runFleet(out io.Writer, m *measurements, dir string, n int, plain idleCost) error {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return fmt.Errorf("creating the fleet's folder: %w", err)
	}
	fleet, err := testbed.NewFleet(testbed.FleetOptions{Members: n, Dir: dir, Seed: membersSeed, StartNode: startNodeFromFile})
	if err != nil {
		return err
	}
	defer fleet.Close()
	f := &measuredFleet{Fleet: fleet, out: out, measurements: m}
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

// name is the name of a measurement of this size of a fleet.
func (f *measuredFleet) name(of string) string { return fmt.Sprintf("n%d_%s", len(f.members), of) }

// checkQuotas checks that quotas never added up to more than 1.
func (f *measuredFleet) checkQuotas() error {
	most, at, err := f.MaxQuotaSum()
	if err != nil {
		return err
	}
	fmt.Fprintf(f.out, "the parts add up to %.6f at the most, at %s\n", most, at.Format("15:04:05.000"))
	f.measurements.add(f.name("most_parts"), "%.6f", most)
	if most > 1+quotaTolerance {
		return fmt.Errorf("%w: quotas add up to %v", errBound, most)
	}
	return nil
}

// convergence is how long each member took to know of a kind of change, in ms.
type convergence struct {
	change string
	*hdrhistogram.Histogram
}

func newConvergence(change string) convergence {
	return convergence{change, hdrhistogram.New(1, maxConvergence.Milliseconds(), 3)}
}

// knows reports whether what a member lists shows a change.
type knows func(listed []gossip.Member) bool

// await waits until each of some members knows of a change that happens now, and records when.
func (f *measuredFleet) await(c convergence, members []int, knows knows) error {
	began := time.Now()
	var waiting sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, i := range members {
		waiting.Go(func() {
			took, err := f.awaitMember(i, began, knows)
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

// awaitMember waits until one member knows of a change, and returns how long after began that was.
func (f *measuredFleet) awaitMember(i int, began time.Time, knows knows) (time.Duration, error) {
	for time.Since(began) < maxConvergence {
		if listed, err := f.Members(i); err == nil && knows(listed) {
			return time.Since(began), nil
		}
		time.Sleep(convergencePoll)
	}
	return 0, fmt.Errorf("%w: %s does not know of a change within %v", errBound, f.Name(i), maxConvergence)
}

// allServe knows all members as serving, with equal quotas.
func (f *measuredFleet) allServe(listed []gossip.Member) bool {
	return len(listed) == len(f.members) && !slices.ContainsFunc(listed, func(o gossip.Member) bool {
		return o.State != "serving" || math.Abs(o.Quota*float64(len(f.members))-1) > quotaTolerance
	})
}

// oneLeft knows all members but one.
func (f *measuredFleet) oneLeft(listed []gossip.Member) bool { return len(listed) == len(f.members)-1 }

// unreachable knows that a member cannot be reached.
func (f *measuredFleet) unreachable(member int) knows {
	return func(listed []gossip.Member) bool {
		return slices.ContainsFunc(listed, func(o gossip.Member) bool { return o.Name == f.Name(member) && !o.Reachable })
	}
}

// measureChanges starts the fleet, takes it through changes, and prints how soon each member knew.
func (f *measuredFleet) measureChanges() error {
	if err := f.Start(f.members...); err != nil {
		return err
	}
	begin, leave, join := newConvergence("begin"), newConvergence("leave"), newConvergence("join")
	kill, back, heal := newConvergence("kill"), newConvergence("back"), newConvergence("heal")
	if err := f.await(begin, f.members, f.allServe); err != nil {
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

// leaveAndJoin shuts a member down, and starts it again.
func (f *measuredFleet) leaveAndJoin(member int, others []int, leave, join convergence) error {
	ended := make(chan error, 1)
	go func() { ended <- f.Process(member).Terminate() }()
	err := f.await(leave, others, f.oneLeft)
	if err = errors.Join(err, <-ended, f.AwaitExit(member), f.Start(member)); err != nil {
		return err
	}
	return f.await(join, f.members, f.allServe)
}

// killAndRestart kills a member, and starts it again.
func (f *measuredFleet) killAndRestart(member int, others []int, kill, back convergence) error {
	f.Kill(member)
	if err := f.await(kill, others, f.unreachable(member)); err != nil {
		return err
	}
	if err := f.Start(member); err != nil {
		return err
	}
	return f.await(back, f.members, f.allServe)
}

// partition cuts the fleet in two halves for a time.
func (f *measuredFleet) partition(heal convergence) error {
	even := func(i int) bool { return i%2 == 0 }
	f.Partition(even, true)
	time.Sleep(partitionSpan)
	f.Partition(even, false)
	return f.await(heal, f.members, f.allServe)
}

func (f *measuredFleet) printConvergence(changes ...convergence) error {
	w := tabwriter.NewWriter(f.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d members: each knows of, ms\tp50\tp99\tmax\n", len(f.members))
	for _, c := range changes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", c.change, c.ValueAtQuantile(50), c.ValueAtQuantile(99), c.Max())
		f.measurements.add(f.name(c.change+"_p99_ms"), "%d", c.ValueAtQuantile(99))
	}
	return w.Flush()
}

// sentBytes is what all members have sent so far.
func (f *measuredFleet) sentBytes() (sum uint64, err error) {
	for _, i := range f.members {
		listed, err := f.Members(i)
		if err != nil {
			return 0, err
		}
		for _, o := range listed {
			if o.Counts != nil { // a member has counts of itself alone
				sum += o.Sent
			}
		}
	}
	return sum, nil
}

// measureIdle measures what an idle member sends, uses and has in memory, beside a node without a fleet.
func (f *measuredFleet) measureIdle(plain idleCost) error {
	p := f.Process(len(f.members) - 1)
	bytesBefore, err := f.sentBytes()
	if err != nil {
		return err
	}
	cpuBefore, err := p.CPU()
	if err != nil {
		return err
	}
	time.Sleep(membersSpan)
	cpuAfter, err := p.CPU()
	if err != nil {
		return err
	}
	bytesAfter, err := f.sentBytes()
	if err != nil {
		return err
	}
	memory, err := p.AnonymousMemory()
	if err != nil {
		return err
	}
	byteRate := float64(bytesAfter-bytesBefore) / membersSpan.Seconds() / float64(len(f.members))
	corePercent := 100 * (cpuAfter - cpuBefore).Seconds() / membersSpan.Seconds()
	fmt.Fprintf(f.out, "at rest a member sends %.0f bytes a second, uses %.2f%% of a core and has %d KiB; a node alone %.2f%% and %d KiB\n",
		byteRate, corePercent, memory>>10, plain.corePercent(), plain.kb)
	f.measurements.add(f.name("bytes_a_second"), "%.0f", byteRate)
	f.measurements.add(f.name("core_percent"), "%.2f", corePercent)
	f.measurements.add(f.name("kib"), "%d", memory>>10)
	return nil
}

// reachableLog is the log line in which a member says how many members may serve, and how many of them it
// hears.
var reachableLog = regexp.MustCompile(`msg=members may_serve=(\d+) heard=(\d+)`)

// countSuspicions counts how often members so far found others unreachable, by their logs.
func (f *measuredFleet) countSuspicions() (n int) {
	for _, i := range f.members {
		unreachableBefore := 0
		for _, found := range reachableLog.FindAllStringSubmatch(f.Process(i).Logged(), -1) {
			serving, _ := strconv.Atoi(found[1]) // digits, by the pattern
			heard, _ := strconv.Atoi(found[2])
			n += max(0, serving-heard-unreachableBefore)
			unreachableBefore = serving - heard
		}
	}
	return n
}

// disturbance is a condition under which no member should be found unreachable.
type disturbance struct {
	name       string
	begin, end func() error
}

// disturbances are no disturbance, loss, and a pause of some members.
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

// measureSuspicions counts how often members that run were found unreachable.
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
		if err := f.await(newConvergence(d.name), f.members, f.allServe); err != nil {
			return err
		}
		wrong := f.countSuspicions() - before
		fmt.Fprintf(f.out, "%s: %d taken for unheard that run, %.0f a member and hour\n", d.name, wrong, float64(wrong)/hours)
		f.measurements.add(f.name(d.name+"_wrong"), "%d", wrong)
	}
	return nil
}
