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
	"jasperpin/internal/gossip"
	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

const (
	membersSeed = 5
	// gossipByteRate limits the bytes per second that a member sends.
	gossipByteRate = 256_000
	// convergenceTimeout bounds the wait until all members know of a change.
	convergenceTimeout = 90 * time.Second
	// processPoll and gossiperPoll are the intervals at which members are polled during that wait.
	processPoll  = 50 * time.Millisecond
	gossiperPoll = 100 * time.Millisecond
	// quotaTolerance allows for the rounding of quotas.
	quotaTolerance = 1e-9
)

// mixedFleet is a fleet whose first members are processes of the program. The others are gossipers in this
// process: they run the same gossip on real sockets, and serve no requests.
type mixedFleet struct {
	*testbed.Fleet
	processes int
	gossipers []*gossip.Gossip
}

// newMixedFleet starts a fleet of n members. It does not wait until they know each other.
func newMixedFleet(o Options, n, processes int) (*mixedFleet, error) {
	dir := filepath.Join(o.Dir, "members-"+strconv.Itoa(n))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, fmt.Errorf("creating the fleet's folder: %w", err)
	}
	fleet, err := testbed.NewFleet(testbed.FleetOptions{Members: n, Dir: dir, Seed: membersSeed, StartNode: o.StartNode})
	if err != nil {
		return nil, err
	}
	m := &mixedFleet{Fleet: fleet, processes: processes}
	if err := m.startMembers(n); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *mixedFleet) startMembers(n int) error {
	for i := range m.processes {
		if err := m.Start(i); err != nil {
			return err
		}
	}
	for i := m.processes; i < n; i++ {
		g, err := m.startGossiper(i)
		if err != nil {
			return err
		}
		m.gossipers = append(m.gossipers, g)
	}
	return nil
}

// startGossiper starts a member in this process, which publishes a load as nodes do.
func (m *mixedFleet) startGossiper(i int) (*gossip.Gossip, error) {
	random := rand.New(rand.NewPCG(membersSeed, uint64(i)))
	load := func() []byte { return strconv.AppendFloat(nil, 100*random.Float64(), 'f', 1, 64) }
	id := membership.ID{Identity: membership.Identity{Name: m.Name(i), DirectoryID: uint64(i + 1)}, Incarnation: uint64(time.Now().UnixMicro())}
	return gossip.Join(gossip.Options{
		Self:   membership.Record{ID: id, Weight: 1},
		Listen: m.ListenAddr(i), Advertise: m.AdvertisedAddr(i), Seeds: []string{m.AdvertisedAddr(0).String(), m.AdvertisedAddr(1).String()}, BytesPerSecond: gossipByteRate,
		Topics: []gossip.Topic{{Kind: nodestate.Kind{Name: "load", MaxBytes: 32, TTL: 5 * time.Minute}, Read: load}},
		Log:    slog.New(slog.DiscardHandler),
	})
}

func (m *mixedFleet) close() {
	var closing sync.WaitGroup
	for _, g := range m.gossipers {
		closing.Go(g.Close)
	}
	closing.Wait()
	m.Close()
}

func (m *mixedFleet) size() int { return m.processes + len(m.gossipers) }

// awaitAll waits until each running member knows of a change, and returns how long that took.
func (m *mixedFleet) awaitAll(ctx context.Context, change string, knows func([]gossip.Member) bool) (time.Duration, error) {
	began := time.Now()
	errs := make([]error, m.processes+1)
	poll := func(i int, member string, interval time.Duration, known func() bool) {
		for !known() {
			if time.Since(began) > convergenceTimeout || ctx.Err() != nil {
				errs[i] = errors.Join(ctx.Err(), fmt.Errorf("%s: timeout after %v waiting until %s", member, convergenceTimeout, change))
				return
			}
			time.Sleep(interval)
		}
	}
	var polling sync.WaitGroup
	for _, i := range m.Running() {
		polling.Go(func() {
			poll(i, m.Name(i), processPoll, func() bool {
				all, err := m.Members(i)
				return err == nil && knows(all)
			})
		})
	}
	polling.Go(func() {
		waiting := slices.Clone(m.gossipers)
		poll(m.processes, "a gossiper", gossiperPoll, func() bool {
			waiting = slices.DeleteFunc(waiting, func(g *gossip.Gossip) bool { return knows(g.Members()) })
			return len(waiting) == 0
		})
	})
	polling.Wait()
	return time.Since(began), errors.Join(errs...)
}

// awaitEqualQuotas waits until each member counts all members, with equal quotas.
func (m *mixedFleet) awaitEqualQuotas(ctx context.Context) (time.Duration, error) {
	n := m.size()
	return m.awaitAll(ctx, fmt.Sprintf("all %d have equal quotas", n), func(all []gossip.Member) bool {
		return len(all) == n && !slices.ContainsFunc(all, func(o gossip.Member) bool { return math.Abs(o.Quota*float64(n)-1) > quotaTolerance })
	})
}

// awaitUnreachable waits until all members know that a member is unreachable.
func (m *mixedFleet) awaitUnreachable(ctx context.Context, member int) (time.Duration, error) {
	return m.awaitAll(ctx, m.Name(member)+" is unreachable", func(all []gossip.Member) bool {
		return slices.ContainsFunc(all, func(o gossip.Member) bool { return o.Name == m.Name(member) && !o.Reachable })
	})
}

// awaitReachable waits until each member can reach all others at the same time.
func (m *mixedFleet) awaitReachable(ctx context.Context) (time.Duration, error) {
	return m.awaitAll(ctx, "all are reachable", func(all []gossip.Member) bool {
		return len(all) == m.size() && !slices.ContainsFunc(all, func(o gossip.Member) bool { return !o.Reachable })
	})
}

// sentBytes returns the number of bytes that all gossipers have sent so far.
func (m *mixedFleet) sentBytes() (sum uint64) {
	for _, g := range m.gossipers {
		sum += g.Counts().Sent
	}
	return sum
}

// processorTime returns the processor time that all running processes have used so far.
func (m *mixedFleet) processorTime() (sum time.Duration, err error) {
	for _, i := range m.Running() {
		cpu, err := m.Process(i).CPU()
		if err != nil {
			return 0, err
		}
		sum += cpu
	}
	return sum, nil
}
