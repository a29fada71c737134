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
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/fleetsim"
	"jasperpin/internal/gossip"
)

const (
	membersSeed   = 5
	membersRounds = 3                // of each change
	knownWithin   = 30 * time.Second // by all
	splitFor      = 15 * time.Second // longer than it takes to hold the others for dead
	restFor       = 5 * time.Second  // for bytes, processor time and suspicions
	pauseFor      = 2 * time.Second
	knownAfter    = 5 * time.Second // as 300 members in virtual time have it
)

// membersRun plays fleets of processes through joins, leaves, kills and splits, and measures how
// soon all know, what is suspected wrongly and what it costs. Parts never add up to more than one.
func membersRun(ctx context.Context, out io.Writer) (figures, error) {
	dir, err := os.MkdirTemp("", "members")
	if err != nil {
		return nil, fmt.Errorf("a folder for the fleets: %w", err)
	}
	defer os.RemoveAll(dir)
	var f figures
	var alone atRest
	if alone.kb, alone.cpu, err = plainRest(dir); err != nil {
		return nil, err
	}
	for _, n := range []int{5, 12, 30} {
		if err := ctx.Err(); err != nil {
			return f, err
		}
		if err := fleetOf(out, &f, filepath.Join(dir, strconv.Itoa(n)), n, alone); err != nil {
			return f, fmt.Errorf("%d members, seed %d: %w", n, membersSeed, err)
		}
	}
	return f, errors.Join(virtualMembers(out, &f), resized(out, &f))
}

// resized has fleets double and halve while a third of the servers are replaced by cold ones, by live
// parts and by a number written by hand.
func resized(out io.Writer, f *figures) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "160 nodes, 90 servers, four seeds\tmost sent to a cold server\tuse of cold servers beside others\tmissed %")
	for _, c := range []struct {
		name     string
		from, to float64
		known    time.Duration
	}{
		{"doubles, by hand", 0.5, 1, 0}, {"doubles, live", 0.5, 1, knownAfter},
		{"halves, by hand", 1, 0.5, 0}, {"halves, live", 1, 0.5, knownAfter},
	} {
		most, use, missed := 0.0, 1e9, 0.0
		for seed := range uint64(4) {
			set, err := fleetsim.Day("calm", 160, 90, seed+1)
			if err != nil {
				return err
			}
			set.Replace.At, set.Replace.Over, set.Replace.Part = 5*time.Second, 6*time.Second, 1.0/3
			r := &set.Resize
			r.At, r.Over, r.From, r.To, r.Known = 6*time.Second, 2*time.Second, c.from, c.to, c.known
			got, err := fleetsim.Run(set)
			if err != nil {
				return err
			}
			most, use, missed = max(most, got.ColdMost), min(use, got.ColdUse/got.WarmUse), max(missed, 100*got.MissedShare())
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\n", c.name, most, use, missed)
		name := strings.NewReplacer(", ", "_", " ", "_").Replace(c.name)
		f.add(name+"_cold_most", "%.2f", most)
		f.add(name+"_cold_use", "%.2f", use)
	}
	return w.Flush()
}

// virtualMembers has large fleets tell each other in virtual time, with a tenth of the words lost.
func virtualMembers(out io.Writer, f *figures) error {
	changes := []fleetsim.Change{fleetsim.Begin, fleetsim.Join, fleetsim.Leave, fleetsim.Restart, fleetsim.Split}
	names := []string{"begin", "join", "leave", "back", "heal"}
	for _, n := range []int{300, 1000} {
		r, err := fleetsim.Members{Count: n, Loss: 0.1, Seed: membersSeed, Changes: changes}.Run()
		if err != nil {
			return fmt.Errorf("%d members in virtual time: %w", n, err)
		}
		fmt.Fprintf(out, "%d members in virtual time, a tenth of the words lost: all know of", n)
		for i, k := range r.Known {
			fmt.Fprintf(out, " %s in %v,", names[i], k.After)
			f.add(fmt.Sprintf("v%d_%s_ms", n, names[i]), "%d", k.After.Milliseconds())
		}
		fmt.Fprintf(out, " %.0f bytes a member and second, parts of %.6f at the most\n", r.Bytes, r.Most)
		f.add(fmt.Sprintf("v%d_most_parts", n), "%.6f", r.Most)
		if r.Most > 1+1e-9 {
			return fmt.Errorf("%w: parts add up to %v", errBound, r.Most)
		}
	}
	return nil
}

// atRest is what a process has and uses that serves nobody.
type atRest struct {
	kb  int
	cpu time.Duration
}

// measured is a fleet that is measured.
type measured struct {
	*testbed.Fleet
	all []int
}

// fleetOf measures a fleet of some size.
func fleetOf(out io.Writer, f *figures, dir string, n int, alone atRest) error {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return fmt.Errorf("a folder for the fleet: %w", err)
	}
	s, err := testbed.NewFleet(testbed.FleetOptions{Members: n, Dir: dir, Seed: membersSeed, Node: func(dir, _, file string) (*testbed.Process, error) {
		return start(dir, "node", file)
	}})
	if err != nil {
		return err
	}
	defer s.Close()
	m := measured{Fleet: s}
	for i := range n {
		m.all = append(m.all, i)
	}
	if err := s.Start(m.all...); err != nil {
		return err
	}
	whole := newSpread()
	if err := m.until(whole, m.all, m.joined); err != nil {
		return err
	}
	took, err := m.changes()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d members: each knows of, ms\tp50\tp99\tmax\n", n)
	for _, c := range append([]change{{"begin", whole}}, took...) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", c.name, c.took.ValueAtQuantile(50), c.took.ValueAtQuantile(99), c.took.Max())
		f.add(fmt.Sprintf("n%d_%s_p99_ms", n, c.name), "%d", c.took.ValueAtQuantile(99))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := m.cost(out, f, alone); err != nil {
		return err
	}
	if err := m.suspicions(out, f); err != nil {
		return err
	}
	most, at, err := s.MostParts()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the parts add up to %.6f at the most, at %s\n", most, at.Format("15:04:05.000"))
	f.add(fmt.Sprintf("n%d_most_parts", n), "%.6f", most)
	if most > 1+1e-9 {
		return fmt.Errorf("%w: parts add up to %v", errBound, most)
	}
	return nil
}

// change is how long each member took to know of a kind of change, in ms.
type change struct {
	name string
	took *hdrhistogram.Histogram
}

func newSpread() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, knownWithin.Milliseconds(), 3)
}

// knows says whether what a member tells shows a change.
type knows func(by int, told []gossip.Member) bool

// until asks some members until each knows of a change that happens now, and notes when.
func (m measured) until(spread *hdrhistogram.Histogram, members []int, knows knows) error {
	began := time.Now()
	var wait sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, i := range members {
		wait.Go(func() {
			for time.Since(began) < knownWithin {
				if told, err := m.Members(i); err == nil && knows(i, told) {
					mu.Lock()
					defer mu.Unlock()
					errs = append(errs, spread.RecordValue(max(1, time.Since(began).Milliseconds())))
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, fmt.Errorf("%w: %s does not know of a change within %v", errBound, m.Name(i), knownWithin))
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// joined knows of all as serving, with an even part each.
func (m measured) joined(_ int, told []gossip.Member) bool {
	return len(told) == len(m.all) && !slices.ContainsFunc(told, func(o gossip.Member) bool {
		return o.State != "serving" || math.Abs(o.Part*float64(len(m.all))-1) > 1e-9
	})
}

// without knows of all but one, which has left.
func (m measured) without(_ int, told []gossip.Member) bool { return len(told) == len(m.all)-1 }

// unheard knows that one is not heard.
func (m measured) unheard(of int) knows {
	return func(_ int, told []gossip.Member) bool {
		return slices.ContainsFunc(told, func(o gossip.Member) bool { return o.Name == m.Name(of) && !o.Heard })
	}
}

// changes has members leave, come back and be killed, and the fleet be split and healed.
func (m measured) changes() ([]change, error) {
	leave, join, kill, back, heal := newSpread(), newSpread(), newSpread(), newSpread(), newSpread()
	for round := range membersRounds {
		who := 1 + round%(len(m.all)-1)
		others := slices.DeleteFunc(slices.Clone(m.all), func(i int) bool { return i == who })
		ended := make(chan error, 1)
		go func() { ended <- m.Process(who).End() }()
		err := m.until(leave, others, m.without)
		if err = errors.Join(err, <-ended, m.Forget(who), m.Start(who)); err != nil {
			return nil, err
		}
		if err := m.until(join, m.all, m.joined); err != nil {
			return nil, err
		}
		m.Kill(who)
		if err := m.until(kill, others, m.unheard(who)); err != nil {
			return nil, err
		}
		if err := m.Start(who); err != nil {
			return nil, err
		}
		if err := m.until(back, m.all, m.joined); err != nil {
			return nil, err
		}
		m.Split(func(i int) bool { return i%2 == 0 }, true)
		time.Sleep(splitFor)
		m.Split(func(i int) bool { return i%2 == 0 }, false)
		if err := m.until(heal, m.all, m.joined); err != nil {
			return nil, err
		}
	}
	return []change{{"leave", leave}, {"join", join}, {"kill", kill}, {"back", back}, {"heal", heal}}, nil
}

// cost tells what a member at rest sends, has and uses, beside a node that knows of no others.
func (m measured) cost(out io.Writer, f *figures, alone atRest) error {
	sent := func() (sum uint64, err error) {
		for _, i := range m.all {
			told, err := m.Members(i)
			if err != nil {
				return 0, err
			}
			for _, o := range told {
				if o.Counts != nil {
					sum += o.Sent
				}
			}
		}
		return sum, nil
	}
	p := m.Process(len(m.all) - 1)
	was, err := sent()
	if err != nil {
		return err
	}
	before, err := p.CPU()
	if err != nil {
		return err
	}
	time.Sleep(restFor)
	after, err := p.CPU()
	if err != nil {
		return err
	}
	is, err := sent()
	if err != nil {
		return err
	}
	bytes, err := p.Memory()
	if err != nil {
		return err
	}
	n, each := len(m.all), float64(is-was)/restFor.Seconds()/float64(len(m.all))
	share := 100 * (after - before).Seconds() / restFor.Seconds()
	fmt.Fprintf(out, "at rest a member sends %.0f bytes a second, uses %.2f%% of a core and has %d KiB; a node alone %.2f%% and %d KiB\n",
		each, share, bytes>>10, 100*alone.cpu.Seconds()/groupRest.Seconds(), alone.kb)
	f.add(fmt.Sprintf("n%d_bytes_a_second", n), "%.0f", each)
	f.add(fmt.Sprintf("n%d_core_percent", n), "%.2f", share)
	f.add(fmt.Sprintf("n%d_kib", n), "%d", bytes>>10)
	return nil
}

// unheardLog is a member's word that some are not heard.
var unheardLog = regexp.MustCompile(`msg=members may_serve=(\d+) heard=(\d+)`)

// suspicions counts how often a member took others that run for unheard, at some losses and with
// some paused for a while.
func (m measured) suspicions(out io.Writer, f *figures) error {
	count := func() (wrong int) {
		for _, i := range m.all {
			was := 0
			for _, found := range unheardLog.FindAllStringSubmatch(m.Process(i).Logged(), -1) {
				all, _ := strconv.Atoi(found[1])
				heard, _ := strconv.Atoi(found[2])
				wrong += max(0, all-heard-was)
				was = all - heard
			}
		}
		return wrong
	}
	hours := restFor.Hours() * float64(len(m.all))
	for _, c := range []struct {
		name string
		do   func(on bool) error
	}{
		{"loss0", func(bool) error { return nil }},
		{"loss5", func(on bool) error { m.All(way(on, 0.05)); return nil }},
		{"loss30", func(on bool) error { m.All(way(on, 0.3)); return nil }},
		{"pause", func(on bool) error {
			if !on {
				return nil
			}
			third := m.all[:max(1, len(m.all)/3)]
			if err := m.Pause(true, third...); err != nil {
				return err
			}
			time.Sleep(pauseFor)
			return m.Pause(false, third...)
		}},
	} {
		was := count()
		if err := c.do(true); err != nil {
			return err
		}
		time.Sleep(restFor)
		if err := c.do(false); err != nil {
			return err
		}
		if err := m.until(newSpread(), m.all, m.joined); err != nil {
			return err
		}
		wrong := count() - was
		fmt.Fprintf(out, "%s: %d taken for unheard that run, %.0f a member and hour\n", c.name, wrong, float64(wrong)/hours)
		f.add(fmt.Sprintf("n%d_%s_wrong", len(m.all), c.name), "%d", wrong)
	}
	return nil
}

func way(on bool, loss float64) testbed.Way {
	if !on {
		return testbed.Way{}
	}
	return testbed.Way{Loss: loss}
}
