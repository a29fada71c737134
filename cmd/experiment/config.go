package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
	"jasperpin/internal/emulator/bigfile"
)

const (
	recordBatch      = 500 // records of one change, at first
	startBatch       = 100 // followers that start at once: all share this process's cores
	restartedDivisor = 20  // of how many followers one is restarted in a trial
	maxDying         = 57  // nodes that die at once: as many as fail on a day
)

var errConfigFlags = errors.New("wrong flags")

// configFlags say what the config scenario runs.
type configFlags struct {
	followers, relays, voters, changes, realNodes int
	records                                       string
}

func parseConfigFlags(args []string) (f configFlags, err error) {
	set := flag.NewFlagSet("config", flag.ContinueOnError)
	set.IntVar(&f.followers, "nodes", 130, "nodes of which only the configuration's side runs, each with a stream")
	set.IntVar(&f.relays, "relays", 5, "relays, a process each")
	set.IntVar(&f.voters, "voters", 3, "voters, a process each: 1, 3 or 5")
	set.IntVar(&f.changes, "changes", 40, "changes of each trial")
	set.IntVar(&f.realNodes, "real", 0, "nodes in processes of their own, by operators' files")
	set.StringVar(&f.records, "records", "500", "pools of the configuration, or full for all of the stated size")
	if err := set.Parse(args); err != nil {
		return f, err
	}
	if f.relays > len(machineZones) || f.voters > f.relays {
		return f, fmt.Errorf("%w: %d relays and %d voters: want %d relays at the most, and no more voters than relays", errConfigFlags, f.relays, f.voters, len(machineZones))
	}
	return f, nil
}

// restarted is how many followers are restarted in a trial.
func (f configFlags) restarted() int { return max(1, f.followers/restartedDivisor) }

// initialRecords are some pools, or the records of an operator's file of the stated size.
func (f configFlags) initialRecords() ([]configlog.Record, error) {
	if f.records == "full" {
		var text bytes.Buffer
		if err := bigfile.Full.Write(&text, "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("writing a full configuration: %w", err)
		}
		return config.Records("full", text.Bytes())
	}
	n, err := strconv.Atoi(f.records)
	if err != nil || n < 0 {
		return nil, fmt.Errorf("%w: records are %q: want a number, or full", errConfigFlags, f.records)
	}
	var all []configlog.Record
	for i := range n {
		all = append(all, configlog.Record{Key: configlog.PoolKey(fmt.Sprint("pool-", i)), Value: poolValue(0)})
	}
	return all, nil
}

// configScenario is a run of the config scenario.
type configScenario struct {
	*configCluster
	flags        configFlags
	out          io.Writer
	measurements measurements
	broken       error // bounds that trials have broken
}

// configRun measures changes of the configuration on their way from voters through relays to nodes: without
// faults, and as a relay, nodes, the leading voter and a whole zone fail.
func configRun(ctx context.Context, out io.Writer, args []string) (measurements, error) {
	f, err := parseConfigFlags(args)
	if err != nil {
		return nil, err
	}
	records, err := f.initialRecords()
	if err != nil {
		return nil, err
	}
	c, err := newConfigCluster(ctx, f.voters, f.relays)
	defer c.close()
	if err != nil {
		return nil, err
	}
	s := &configScenario{configCluster: c, flags: f, out: out}
	err = s.run(ctx, records)
	return s.measurements, errors.Join(s.broken, err)
}

func (s *configScenario) run(ctx context.Context, records []configlog.Record) error {
	for batch := range slices.Chunk(records, recordBatch) {
		if err := s.propose(ctx, batch...); err != nil {
			return err
		}
	}
	emptyRelay, err := s.relays[0].AnonymousMemory()
	if err != nil {
		return err
	}
	if err := s.startNodes(ctx, len(records)); err != nil {
		return err
	}
	if err := s.measureRealNodes(ctx, s.out, &s.measurements); err != nil {
		return err
	}
	idle, err := s.measureIdleCosts(s.out, &s.measurements, emptyRelay)
	if err != nil {
		return err
	}
	if err := s.measureWithoutFaults(ctx, idle); err != nil {
		return err
	}
	if err := s.measureFaults(ctx); err != nil {
		return err
	}
	if err := s.measureLostZone(ctx); err != nil {
		return err
	}
	s.checkRejected()
	return nil
}

// startNodes starts all nodes, and waits until they are in sync. Those that will be restarted have copies of
// the configuration on the disk.
func (s *configScenario) startNodes(ctx context.Context, records int) error {
	began := time.Now()
	for i := range s.flags.followers {
		if err := s.startFollower(i, i < s.flags.restarted()); err != nil {
			return err
		}
		if i%startBatch == startBatch-1 || i == s.flags.followers-1 {
			if err := s.awaitInSync(ctx); err != nil {
				return err
			}
		}
	}
	for i := range s.flags.realNodes {
		if err := s.addRealNode(i); err != nil {
			return err
		}
	}
	if err := s.awaitInSync(ctx); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	fmt.Fprintf(s.out, "%d nodes, started %d at a time, %d relays, %d voters, %d records, %d real nodes: all level after %.2f s\n",
		s.flags.followers, startBatch, s.flags.relays, s.flags.voters, records, s.flags.realNodes, seconds)
	s.measurements.add("begun_s", "%.2f", seconds)
	return nil
}

// trial runs a trial with a fault and prints its result. stayed is how many followers the fault leaves alone.
func (s *configScenario) trial(ctx context.Context, name string, stayed int, fault func() error) error {
	r, err := s.runTrial(ctx, s.flags.changes, fault)
	if err != nil {
		return err
	}
	s.broken = errors.Join(s.broken, s.printTrial(s.out, &s.measurements, name, r, stayed, s.flags.changes))
	return nil
}

// measureWithoutFaults runs a trial without a fault, which also shows what a change costs.
func (s *configScenario) measureWithoutFaults(ctx context.Context, idle nodeCosts) error {
	before, began := s.followerCosts(), time.Now()
	r, err := s.runTrial(ctx, s.flags.changes, nil)
	if err != nil {
		return err
	}
	after, span := s.followerCosts(), time.Since(began)
	s.broken = s.printTrial(s.out, &s.measurements, "calm", r, s.flags.followers, s.flags.changes)
	s.printChangeCosts(s.out, &s.measurements, before, after, idle, s.flags.changes, span)
	return nil
}

// measureFaults runs a trial for each fault but the loss of a zone.
func (s *configScenario) measureFaults(ctx context.Context) error {
	all, restarted := s.flags.followers, s.flags.restarted()
	if err := s.trial(ctx, "relay_killed", all, func() error { s.relays[0].kill(); return nil }); err != nil {
		return err
	}
	if err := s.trial(ctx, "restarted_5pct", all-restarted, func() error { return s.restartFollowers(restarted) }); err != nil {
		return err
	}
	if err := s.trial(ctx, "leader_killed", all, func() error { return s.killLeader(ctx) }); err != nil {
		return err
	}
	if err := errors.Join(s.restartKilled(ctx), s.startDying()); err != nil {
		return err
	}
	if err := s.trial(ctx, "nodes_died", all, s.stopDying); err != nil {
		return err
	}
	// Not left stopped: if the shell's process group is orphaned, a stopped process in it has all of the
	// group terminated.
	s.dying.Kill()
	return nil
}

// measureLostZone kills the leader's zone during a trial, and measures its return.
func (s *configScenario) measureLostZone(ctx context.Context) error {
	leader, err := s.leader(ctx)
	if err != nil {
		return err
	}
	zone := leader.zone
	lostFollowers, lostReal := countInZone(zone, s.flags.followers), countInZone(zone, s.flags.realNodes)
	err = s.trial(ctx, "zone_lost", s.flags.followers-lostFollowers-lostReal, func() error { s.killZone(zone); return nil })
	if err != nil {
		return err
	}
	began := time.Now()
	if err := s.restartKilled(ctx); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	fmt.Fprintf(s.out, "the zone's %d nodes, without a copy, %d real ones, with theirs, and its machines, of which one led, are back and level after %.2f s, starts of processes included\n",
		lostFollowers, lostReal, seconds)
	s.measurements.add("zone_back_s", "%.2f", seconds)
	return nil
}

// checkRejected checks that no real node has rejected a record.
func (s *configScenario) checkRejected() {
	for _, n := range s.realNodes {
		if rejected := n.rejected.Load(); rejected > 0 {
			s.broken = errors.Join(s.broken, fmt.Errorf("%w: %s: %d records were rejected", errBound, n.file, rejected))
		}
	}
}
