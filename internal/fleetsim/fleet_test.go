package fleetsim

import (
	"reflect"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// play runs a simulation and checks that each request ends exactly once and that no request that is not
// idempotent runs twice.
func play(t interface{ Fatalf(string, ...any) }, set Settings) *Result {
	r, err := Run(set)
	if err != nil {
		t.Fatalf("simulating the fleet: %v", err)
	}
	if r.Unended != 0 || r.RanTwice != 0 || r.Requests == 0 || len(r.Latencies)+r.Rejected+r.Failed != r.Requests {
		t.Fatalf("%d requests, %d answered, %d rejected, %d failed; %d never ended, %d ran twice; want each request to end once and none to run twice", r.Requests, len(r.Latencies), r.Rejected, r.Failed, r.Unended, r.RanTwice)
	}
	return r
}

// TestFleet runs small fleets in each configuration: a seed determines the run, each request ends once, and no request
// that is not idempotent runs twice.
func TestFleet(t *testing.T) {
	for name, set := range map[string]Settings{
		"no planners":   {Nodes: 4, Servers: 24, Load: 0.75},
		"one planner":   {Nodes: 4, Servers: 24, Load: 0.75, Planners: 1},
		"three by key":  {Nodes: 4, Servers: 24, Load: 0.95, Planners: 3},
		"three by zone": {Nodes: 6, Servers: 24, Load: 0.95, ZonePlanners: true},
		"forwarders":    {Nodes: 6, Servers: 24, Load: 0.95, PlannersPerZone: 1},
		"two in a zone": {Nodes: 6, Servers: 24, Load: 0.95, PlannersPerZone: 2},
		"a small zone":  {Nodes: 6, Servers: 24, Load: 0.8, PlannersPerZone: 1, SmallZoneShare: 0.3},
		"restarts":      {Nodes: 4, Servers: 24, Load: 0.6, RestartShare: 0.1, RestartEvery: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set.Duration, set.Seed = 5*time.Second, 7
			a := play(t, set)
			if a.MissedShare() > 0.6 {
				t.Errorf("%.0f%% of the requests missed their latency objective", 100*a.MissedShare())
			}
			if b := play(t, set); !reflect.DeepEqual(a, b) {
				t.Error("two runs with one seed differ")
			}
			t.Logf("missed %.2f%%, p99 %v, %.2f attempts per request", 100*a.MissedShare(), a.Quantile(0.99), float64(a.Attempts)/float64(a.Requests))
		})
	}
	if _, err := Run(Settings{}); err == nil {
		t.Error("a fleet without nodes and servers was accepted")
	}
}

// TestPlannersFail injects each kind of fault into planners during a run: each request ends once, no request that
// is not idempotent runs twice, planners forget attempts that have ended, and about as many requests miss their
// latency objective as without planners.
func TestPlannersFail(t *testing.T) {
	base := Settings{Nodes: 9, Servers: 45, Load: 0.95, Duration: 8 * time.Second, Seed: 3}
	baseline := play(t, base)
	base.PlannersPerZone = 1
	healthy := play(t, base)
	at, span := 2*time.Second, 3*time.Second
	for name, faults := range map[string][]Fault{
		"one killed":          {{0, Killed, at, span}},
		"all killed":          {{All, Killed, at, span}},
		"one paused":          {{1, Paused, at, span}},
		"all paused":          {{All, Paused, at, span}},
		"one slow":            {{2, Slow, at, span}},
		"all slow":            {{All, Slow, at, span}},
		"one partitioned":     {{0, Partitioned, at, span}},
		"all partitioned":     {{All, Partitioned, at, span}},
		"killed at the start": {{0, Killed, 0, span}},
		"one after other":     {{0, Killed, at, span}, {1, Killed, at + span/2, span}, {2, Paused, at + span, span}},
		"repeated faults":     {{0, Killed, at, span / 6}, {0, Killed, at + span/3, span / 6}, {0, Paused, at + 2*span/3, span / 6}},
		"until the end":       {{All, Killed, at, time.Minute}},
		"paused, then killed": {{0, Paused, at, span}, {0, Killed, at + span/2, span}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := base
			set.Faults = faults
			r := play(t, set)
			if r.Planned == 0 || r.Unplanned <= healthy.Unplanned {
				t.Errorf("%d attempts to planned servers, %d to servers that forwarders chose alone; without a fault %d and %d", r.Planned, r.Unplanned, healthy.Planned, healthy.Unplanned)
			}
			if r.MissedShare() > baseline.MissedShare()+0.005 {
				t.Errorf("%.2f%% of the requests missed their latency objective, without planners %.2f%%", 100*r.MissedShare(), 100*baseline.MissedShare())
			}
			t.Logf("missed %.3f%% (without planners %.3f%%), %d planned, %d chosen by forwarders alone", 100*r.MissedShare(), 100*baseline.MissedShare(), r.Planned, r.Unplanned)
		})
	}
}

// TestAllPlannersLost kills all planners for 30 s: forwarders choose servers alone meanwhile, and follow plans
// again afterwards.
func TestAllPlannersLost(t *testing.T) {
	set := Settings{Nodes: 6, Servers: 24, Load: 0.8, Duration: 40 * time.Second, Seed: 5}
	baseline := play(t, set)
	set.PlannersPerZone = 1
	healthy := play(t, set)
	set.Faults = []Fault{{All, Killed, 4 * time.Second, 30 * time.Second}}
	r := play(t, set)
	if r.MissedShare() > baseline.MissedShare()+0.005 {
		t.Errorf("%.3f%% of the requests missed their latency objective, without planners %.3f%%", 100*r.MissedShare(), 100*baseline.MissedShare())
	}
	if share := float64(r.Planned) / float64(healthy.Planned); share < 0.05 || share > 0.25 { // planners run for about 6 of 40 s
		t.Errorf("%d attempts planned, want 5%% to 25%% of the %d without the loss of planners", r.Planned, healthy.Planned)
	}
}

// TestAnyFaults injects random faults, which may overlap, into the planners of a small fleet.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{
			Nodes: 3, Servers: 9, Load: rapid.Float64Range(0.3, 1.8).Draw(t, "load"), Duration: 2 * time.Second,
			Seed: rapid.Uint64().Draw(t, "seed"), PlannersPerZone: rapid.IntRange(1, 2).Draw(t, "planners"),
		}
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			set.Faults = append(set.Faults, Fault{
				Planner: rapid.IntRange(All, 2*zoneCount-1).Draw(t, "planner"), Kind: FaultKind(rapid.IntRange(0, int(Partitioned)).Draw(t, "kind")),
				At: ms("at", 2000), For: ms("for", 3000),
			})
		}
		play(t, set)
	})
}

// TestSmallZone has a zone with few servers: its planner returns requests that other zones can serve
// to the forwarders, and no more requests miss their latency objective than without planners.
func TestSmallZone(t *testing.T) {
	var missed [2]float64
	for planners := range missed {
		for seed := range uint64(3) {
			r := play(t, Settings{Nodes: 9, Servers: 60, Load: 0.8, SmallZoneShare: 0.3, Duration: 6 * time.Second, Seed: seed + 1, PlannersPerZone: planners})
			missed[planners] += r.MissedShare() / 3
			if planners == 1 && r.Planned < r.Unplanned {
				t.Errorf("seed %d: %d attempts to planned servers, fewer than the %d to servers that forwarders chose alone", seed+1, r.Planned, r.Unplanned)
			}
		}
	}
	t.Logf("missed %.2f%% without planners, %.2f%% with them", 100*missed[0], 100*missed[1])
	if missed[1] > missed[0]+0.002 {
		t.Errorf("%.2f%% of the requests missed their latency objective, without planners %.2f%%", 100*missed[1], 100*missed[0])
	}
}
