package bootclock

import (
	"testing"
	"time"
)

// TestRemainingSurvivesClockSteps: a span of ten minutes is measured while the wall clock is stepped, within
// one boot, across a reboot, and with an unknown boot ID.
func TestRemainingSurvivesClockSteps(t *testing.T) {
	const span = 10 * time.Minute
	wall := time.Unix(1_800_000_000, 0)
	set := Reading{BootID: "a", SinceBoot: 5 * time.Hour, Wall: wall}
	at := func(boot string, since, step time.Duration) Reading {
		return Reading{BootID: boot, SinceBoot: since, Wall: wall.Add(step)}
	}
	for name, tc := range map[string]struct {
		set, now Reading
		want     time.Duration
	}{
		"a minute later":                  {set, at("a", 5*time.Hour+time.Minute, time.Minute), 9 * time.Minute},
		"a step forward":                  {set, at("a", 5*time.Hour+time.Minute, time.Hour), 9 * time.Minute},
		"a step back":                     {set, at("a", 5*time.Hour+time.Minute, -time.Hour), 9 * time.Minute},
		"deadline passed":                 {set, at("a", 5*time.Hour+11*time.Minute, -time.Hour), -time.Minute},
		"another boot":                    {set, at("b", time.Minute, 3*time.Minute), 9 * time.Minute},
		"another boot, a step forward":    {set, at("b", time.Minute, time.Hour), 9 * time.Minute},
		"another boot, a step back":       {set, at("b", time.Minute, -time.Hour), span},
		"another boot, long ago":          {set, at("b", time.Hour, 2*time.Hour), -50 * time.Minute},
		"no id, the same boot":            {Reading{SinceBoot: set.SinceBoot, Wall: wall}, at("", 5*time.Hour+time.Minute, time.Hour), 9 * time.Minute},
		"no id, another boot":             {Reading{SinceBoot: set.SinceBoot, Wall: wall}, at("", time.Minute, time.Hour), 9 * time.Minute},
		"no id at the second, same boot":  {set, at("", 5*time.Hour+time.Minute, -time.Minute), span},
		"no id at the second, after boot": {set, at("", 2*time.Minute, time.Minute), 9 * time.Minute},
	} {
		if got := tc.now.Remaining(tc.set.After(span)); got != tc.want {
			t.Errorf("%s: remaining time %v, want %v", name, got, tc.want)
		}
	}
	old := Deadline{WallNanos: wall.Add(span).UnixNano()}
	if got := at("a", time.Hour, time.Minute).Remaining(old); got != 9*time.Minute {
		t.Errorf("remaining time of a record with only a wall-clock time: %v, want 9m", got)
	}
}

// TestNowReadsRunningClocks: two successive readings have the same boot ID, and the second is not earlier.
func TestNowReadsRunningClocks(t *testing.T) {
	one := Now()
	two := Now()
	if one.SinceBoot <= 0 || two.SinceBoot < one.SinceBoot || one.BootID != two.BootID || one.BootID == "" {
		t.Errorf("first reading %+v, second %+v", one, two)
	}
}
