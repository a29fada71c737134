package capacity

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/fleetsim"
	"jasperpin/internal/gossip"
	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

const (
	membersSeed = 5
	// memberBytes is the cap on bytes that a node has by itself, each way.
	memberBytes = 256_000
	// knownWithin bounds the wait until all know of a change.
	knownWithin = 90 * time.Second
	// regionAway is how long a fourth of the members is cut off: longer than it takes to hold the
	// others for dead.
	regionAway = 15 * time.Second
)

// mixed is a fleet of which the first are processes of the program, and the others hollow: they say
// and hear the same words by the same code and serve nobody.
type mixed struct {
	*testbed.Fleet
	real   int
	hollow []*gossip.Gossip
}

// newMixed starts a fleet and waits for nothing.
func newMixed(o Options, n, processes int) (*mixed, error) {
	dir := filepath.Join(o.Dir, "members-"+strconv.Itoa(n))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, fmt.Errorf("a folder for the fleet: %w", err)
	}
	f, err := testbed.NewFleet(testbed.FleetOptions{Members: n, Dir: dir, Seed: membersSeed, Node: o.Node})
	if err != nil {
		return nil, err
	}
	m := &mixed{Fleet: f, real: processes}
	for i := range processes {
		if err := f.Start(i); err != nil {
			m.close()
			return nil, err
		}
	}
	for i := processes; i < n; i++ {
		rng := rand.New(rand.NewPCG(membersSeed, uint64(i)))
		g, err := gossip.Join(gossip.Options{
			Self:   membership.Record{ID: membership.ID{Identity: membership.Identity{Name: f.Name(i), Place: uint64(i + 1)}, Incarnation: uint64(time.Now().UnixMicro())}, Weight: 1},
			Listen: f.Own(i), Advertise: f.Shown(i), Seeds: []string{f.Shown(0).String(), f.Shown(1).String()}, Bytes: memberBytes,
			Topics: []gossip.Topic{{Kind: nodestate.Kind{Name: "load", Most: 32, Keep: 5 * time.Minute}, Say: func() []byte {
				return strconv.AppendFloat(nil, 100*rng.Float64(), 'f', 1, 64)
			}}},
			Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			m.close()
			return nil, err
		}
		m.hollow = append(m.hollow, g)
	}
	return m, nil
}

func (m *mixed) close() {
	var ended sync.WaitGroup
	for _, h := range m.hollow {
		ended.Go(h.Close)
	}
	ended.Wait()
	m.Close()
}

func (m *mixed) size() int { return m.real + len(m.hollow) }

// until waits until every member that runs knows of a change, and gives how long that took.
func (m *mixed) until(ctx context.Context, what string, knows func([]gossip.Member) bool) (time.Duration, error) {
	began := time.Now()
	var wait sync.WaitGroup
	errs := make([]error, m.real+1)
	poll := func(i int, who string, each time.Duration, known func() bool) {
		wait.Go(func() {
			for !known() {
				if time.Since(began) > knownWithin || ctx.Err() != nil {
					errs[i] = errors.Join(ctx.Err(), fmt.Errorf("%s does not know within %v: %s", who, knownWithin, what))
					return
				}
				time.Sleep(each)
			}
		})
	}
	for _, i := range m.Running() {
		poll(i, m.Name(i), 50*time.Millisecond, func() bool {
			all, err := m.Members(i)
			return err == nil && knows(all)
		})
	}
	ignorant := slices.Clone(m.hollow)
	poll(m.real, "a hollow member", 100*time.Millisecond, func() bool {
		ignorant = slices.DeleteFunc(ignorant, func(h *gossip.Gossip) bool { return knows(h.Members()) })
		return len(ignorant) == 0
	})
	wait.Wait()
	return time.Since(began), errors.Join(errs...)
}

// whole waits until each counts all, and has an even part.
func (m *mixed) whole(ctx context.Context) (time.Duration, error) {
	n := m.size()
	return m.until(ctx, fmt.Sprintf("all %d have even parts", n), func(all []gossip.Member) bool {
		return len(all) == n && !slices.ContainsFunc(all, func(o gossip.Member) bool { return math.Abs(o.Part*float64(n)-1) > 1e-9 })
	})
}

// unheard waits until nobody hears some member.
func (m *mixed) unheard(ctx context.Context, of int) (time.Duration, error) {
	return m.until(ctx, m.Name(of)+" is not heard", func(all []gossip.Member) bool {
		return slices.ContainsFunc(all, func(o gossip.Member) bool { return o.Name == m.Name(of) && !o.Heard })
	})
}

// heard waits until each has heard all others at once.
func (m *mixed) heard(ctx context.Context) (time.Duration, error) {
	return m.until(ctx, "all are heard", func(all []gossip.Member) bool {
		return len(all) == m.size() && !slices.ContainsFunc(all, func(o gossip.Member) bool { return !o.Heard })
	})
}

// sent is what the hollow members have sent so far, in bytes.
func (m *mixed) sent() (sum uint64) {
	for _, h := range m.hollow {
		sum += h.Counts().Sent
	}
	return sum
}

// used is the processor time of the processes so far.
func (m *mixed) used() (sum time.Duration, err error) {
	for _, i := range m.Running() {
		cpu, err := m.Process(i).CPU()
		if err != nil {
			return 0, err
		}
		sum += cpu
	}
	return sum, nil
}

// shape is what one size of a fleet came to.
type shape struct {
	bytes, core, memory     float64 // of a member at rest
	changing                float64 // bytes a second, from a kill until all know of the next life
	begin, kill, back, heal float64 // seconds until all know
}

func (m *mixed) measure(ctx context.Context, rest time.Duration) (s shape, err error) {
	took, err := m.whole(ctx)
	if err != nil {
		return s, err
	}
	s.begin = took.Seconds()
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	wait(rest / 2) // the words of the beginning go round
	was, began := m.sent(), time.Now()
	before, err := m.used()
	if err != nil {
		return s, err
	}
	wait(rest)
	over := time.Since(began).Seconds()
	after, err := m.used()
	if err != nil {
		return s, err
	}
	s.bytes = float64(m.sent()-was) / over / float64(len(m.hollow))
	s.core = 100 * ticked(after-before).Seconds() / over / float64(m.real)
	memory, err := m.Process(m.real - 1).Memory()
	if err != nil {
		return s, err
	}
	s.memory = float64(memory) / 1e6

	was, began = m.sent(), time.Now()
	victim := m.real - 1
	m.Kill(victim)
	if took, err = m.unheard(ctx, victim); err != nil {
		return s, err
	}
	s.kill = took.Seconds()
	if err := m.Start(victim); err != nil {
		return s, err
	}
	if took, err = m.whole(ctx); err != nil {
		return s, err
	}
	s.back = took.Seconds()
	s.changing = float64(m.sent()-was) / time.Since(began).Seconds() / float64(len(m.hollow))

	// Faults that nobody has to be told of: one process stops for a while, another hears nothing of
	// a half.
	if err := m.Pause(true, victim); err != nil {
		return s, err
	}
	for i := range m.size() / 2 {
		m.Set(i, 1, testbed.Way{Cut: i != 1})
	}
	wait(2 * time.Second)
	m.All(testbed.Way{})
	if err := m.Pause(false, victim); err != nil {
		return s, err
	}
	if _, err = m.whole(ctx); err != nil {
		return s, err
	}
	// A region is away, with real and hollow members.
	away := func(i int) bool { return i%4 == 3 }
	m.Split(away, true)
	wait(regionAway)
	m.Split(away, false)
	if took, err = m.heard(ctx); err != nil {
		return s, err
	}
	s.heal = took.Seconds()
	most, at, err := m.MostParts()
	if err == nil && most > 1+1e-9 {
		err = fmt.Errorf("the processes' parts add up to %v at %v: want 1 at the most", most, at)
	}
	return s, err
}

// membersOf measures what members cost each other by their number: processes beside hollow members
// on real sockets, and fleets in virtual time.
func membersOf(ctx context.Context, o Options) (found Found, err error) {
	processes, rest, sizes, virtual := 12, 16*time.Second, []int{15, 30, 60, 90}, []int{38, 75, 150, 300}
	if o.Small {
		virtual = []int{8, 12, 16, 24}
	}
	base := Slope{Role: "node: members", By: "members", Stated: float64(o.Nodes), Runs: 1}
	if !o.Small {
		bytes, core, memory := base.named("bytes sent at rest", "bytes/s", o.Bytes), base.named("processor time at rest", "% of a core", 100*o.Core), base.named("memory", "MB", o.Memory)
		changing := base.named("bytes sent as one is killed and comes back", "bytes/s", o.Bytes)
		begin, kill := base.named("all begin until all know", "s", 0), base.named("a kill until all know", "s", 0)
		back, heal := base.named("a next life until all know", "s", 0), base.named("a region's return until all know", "s", 0)
		for _, n := range sizes {
			m, err := newMixed(o, n, processes)
			if err != nil {
				return found, err
			}
			s, err := m.measure(ctx, rest)
			m.close()
			if err != nil {
				return found, fmt.Errorf("%d members: %w", n, err)
			}
			fmt.Fprintf(o.Log, "%d members: %+v\n", n, s)
			for at, v := range map[*Slope]float64{bytes: s.bytes, core: s.core, memory: s.memory, changing: s.changing, begin: s.begin, kill: s.kill, back: s.back, heal: s.heal} {
				at.Samples = append(at.Samples, Sample{float64(n), v})
			}
		}
		for _, s := range []*Slope{bytes, changing, core, memory, begin, kill, back, heal} {
			found.Slopes = append(found.Slopes, *s)
		}
		found.note("%d processes of the program in each fleet, the others hollow; bytes are of hollow ones, processor time and memory of processes; one run of %v at rest", processes, rest)
		found.note("a process killed, one paused and one half cut off one way for 2 s, a fourth away for %v: the processes' parts added up to 1 at the most", regionAway)
	}
	words := base.named("bytes through five changes, in virtual time", "bytes/s", o.Bytes)
	known := base.named("the slowest of five changes until all know, in virtual time", "s", 0)
	for _, n := range virtual {
		if err := ctx.Err(); err != nil {
			return found, err
		}
		r, err := fleetsim.Members{Count: n, Loss: 0.1, Seed: membersSeed, Changes: []fleetsim.Change{fleetsim.Begin, fleetsim.Join, fleetsim.Leave, fleetsim.Restart, fleetsim.Split}}.Run()
		if err != nil {
			return found, fmt.Errorf("%d members in virtual time: %w", n, err)
		}
		slowest := time.Duration(0)
		for _, k := range r.Known {
			slowest = max(slowest, k.After)
		}
		words.Samples = append(words.Samples, Sample{float64(n), r.Bytes})
		known.Samples = append(known.Samples, Sample{float64(n), slowest.Seconds()})
	}
	found.Slopes = append(found.Slopes, *words, *known)
	found.note("in virtual time a tenth of the words is lost; changes follow each other as soon as all know")
	return found, nil
}
