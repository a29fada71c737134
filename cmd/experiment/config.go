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
	recordBatch      = 500 // records in each change of the initial configuration
	startBatch       = 100 // followers that start at once, because all share this process's cores
	restartedDivisor = 20  // one in this many followers is restarted in a trial
	maxFailingNodes  = 57  // nodes that fail at once: as many as fail in a day
)

var errConfigFlags = errors.New("invalid flags")

// configFlags are the flags of the config scenario.
type configFlags struct {
	followers, relays, voters, changes, realNodes int
	records                                       string
}

func parseConfigFlags(args []string) (f configFlags, err error) {
	set := flag.NewFlagSet("config", flag.ContinueOnError)
	set.IntVar(&f.followers, "nodes", 130, "number of followers: nodes that run only the configuration client, each with a stream")
	set.IntVar(&f.relays, "relays", 5, "number of relays, each a process")
	set.IntVar(&f.voters, "voters", 3, "number of voters, each a process: 1, 3 or 5")
	set.IntVar(&f.changes, "changes", 40, "number of changes in each trial")
	set.IntVar(&f.realNodes, "real", 0, "number of complete nodes, each a process with an operator's file")
	set.StringVar(&f.records, "records", "500", "number of pools in the configuration, or full for a configuration of the stated size")
	if err := set.Parse(args); err != nil {
		return f, err
	}
	if f.relays > len(machineZones) || f.voters > f.relays {
		return f, fmt.Errorf("%w: %d relays and %d voters: want at most %d relays, and no more voters than relays", errConfigFlags, f.relays, f.voters, len(machineZones))
	}
	return f, nil
}

// restarted returns the number of followers that are restarted in a trial.
func (f configFlags) restarted() int { return max(1, f.followers/restartedDivisor) }

// initialRecords returns records of the given number of pools, or the records of an operator's file of the stated
// size.
func (f configFlags) initialRecords() ([]configlog.Record, error) {
	if f.records == "full" {
		var text bytes.Buffer
		if err := bigfile.Full.Write(&text, "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("writing a configuration of the stated size: %w", err)
		}
		return config.Records("full", text.Bytes())
	}
	n, err := strconv.Atoi(f.records)
	if err != nil || n < 0 {
		return nil, fmt.Errorf("%w: records %q: want a number or full", errConfigFlags, f.records)
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
	violations   error // bounds that trials have violated; nil if none
}

// configRun measures the propagation of configuration changes from voters through relays to nodes: without
// faults, and while a relay, nodes, the leader or a whole zone fails.
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
	return s.measurements, errors.Join(s.violations, err)
}

func (s *configScenario) run(ctx context.Context, records []configlog.Record) error {
	for batch := range slices.Chunk(records, recordBatch) {
		if err := s.propose(ctx, batch...); err != nil {
			return err
		}
	}
	emptyRelayMemory, err := s.relays[0].AnonymousMemory()
	if err != nil {
		return err
	}
	if err := s.startNodes(ctx, len(records)); err != nil {
		return err
	}
	if err := s.measureRealNodes(ctx, s.out, &s.measurements); err != nil {
		return err
	}
	idle, err := s.measureIdleCosts(s.out, &s.measurements, emptyRelayMemory)
	if err != nil {
		return err
	}
	if err := s.measureWithoutFaults(ctx, idle); err != nil {
		return err
	}
	if err := s.measureFaults(ctx); err != nil {
		return err
	}
	if err := s.measureZoneLoss(ctx); err != nil {
		return err
	}
	s.checkRejected()
	return nil
}

// startNodes starts all nodes, and waits until they are in sync. Followers that will be restarted have copies of
// the configuration on disk.
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
	fmt.Fprintf(s.out, "%d followers, started %d at a time, %d relays, %d voters, %d records, %d real nodes: all in sync after %.2f s\n",
		s.flags.followers, startBatch, s.flags.relays, s.flags.voters, records, s.flags.realNodes, seconds)
	s.measurements.add("begun_s", "%.2f", seconds)
	return nil
}

// runFaultTrial runs a trial with a fault and prints its result. unaffected is the number of followers that the
// fault does not affect.
func (s *configScenario) runFaultTrial(ctx context.Context, name string, unaffected int, fault func() error) error {
	r, err := s.runTrial(ctx, s.flags.changes, fault)
	if err != nil {
		return err
	}
	s.violations = errors.Join(s.violations, s.printTrial(s.out, &s.measurements, name, r, unaffected, s.flags.changes))
	return nil
}

// measureWithoutFaults runs a trial without a fault, and prints the cost of a change at a follower. idle is the cost
// of an idle follower, which is subtracted.
func (s *configScenario) measureWithoutFaults(ctx context.Context, idle nodeCosts) error {
	before, began := s.followerCosts(), time.Now()
	r, err := s.runTrial(ctx, s.flags.changes, nil)
	if err != nil {
		return err
	}
	after, span := s.followerCosts(), time.Since(began)
	s.violations = s.printTrial(s.out, &s.measurements, "calm", r, s.flags.followers, s.flags.changes)
	s.printChangeCosts(s.out, &s.measurements, before, after, idle, s.flags.changes, span)
	return nil
}

// measureFaults runs a trial for each fault except the loss of a zone.
func (s *configScenario) measureFaults(ctx context.Context) error {
	all, restarted := s.flags.followers, s.flags.restarted()
	if err := s.runFaultTrial(ctx, "relay_killed", all, func() error { s.relays[0].kill(); return nil }); err != nil {
		return err
	}
	if err := s.runFaultTrial(ctx, "restarted_5pct", all-restarted, func() error { return s.restartFollowers(restarted) }); err != nil {
		return err
	}
	if err := s.runFaultTrial(ctx, "leader_killed", all, func() error { return s.killLeader(ctx) }); err != nil {
		return err
	}
	if err := errors.Join(s.restartKilled(ctx), s.startFailingNodes()); err != nil {
		return err
	}
	if err := s.runFaultTrial(ctx, "nodes_died", all, s.freezeFailingNodes); err != nil {
		return err
	}
	// The failing nodes must not stay stopped: if the shell's process group is orphaned while it has a stopped
	// process, the system terminates the whole group.
	s.failingNodes.Kill()
	return nil
}

// measureZoneLoss kills the zone of the leader during a trial, and measures the time until the zone has recovered.
func (s *configScenario) measureZoneLoss(ctx context.Context) error {
	leader, err := s.leader(ctx)
	if err != nil {
		return err
	}
	zone := leader.zone
	lostFollowers, lostReal := countInZone(zone, s.flags.followers), countInZone(zone, s.flags.realNodes)
	err = s.runFaultTrial(ctx, "zone_lost", s.flags.followers-lostFollowers-lostReal, func() error { s.killZone(zone); return nil })
	if err != nil {
		return err
	}
	began := time.Now()
	if err := s.restartKilled(ctx); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	fmt.Fprintf(s.out, "recovery of the leader's zone: its %d followers, without a copy, %d real nodes, with a copy, and its relays and voters are in sync after %.2f s, including process starts\n",
		lostFollowers, lostReal, seconds)
	s.measurements.add("zone_back_s", "%.2f", seconds)
	return nil
}

// checkRejected checks that no real node has rejected a record.
func (s *configScenario) checkRejected() {
	for _, n := range s.realNodes {
		if rejected := n.rejected.Load(); rejected > 0 {
			s.violations = errors.Join(s.violations, fmt.Errorf("%w: %s: %d records were rejected", errBound, n.file, rejected))
		}
	}
}
