package simproto

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestParseSettings parses valid settings, and settings with one fault each. The error names the key or line.
func TestParseSettings(t *testing.T) {
	good := "classes.count=1\nclasses.0.effect=guarded\nclasses.0.dedupScope=cell\nclasses.0.windowMs=2000.0\nclasses.0.objectiveMs=500\n" +
		"discovery=ask\nmyNumber=3\nnInstances=7\naz=1\nunknown.key=whatever\nceilings.cancel=true\nrules.warmWithinMs=1500.5\ncosts.handshake=0.5\nceilings.keepaliveMs=9000\n"
	set, err := ParseSettings([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if set.NodeIndex != 3 || set.NodeCount != 7 || set.HandshakeCost != 0.5 || set.IdleTimeout != 9*time.Second || set.Zone != 1 || !set.PollDiscovery || !set.CancelAttempts || set.Hedging ||
		set.SlowStartWindow != 1500500*time.Microsecond || set.Classes[0].DedupWindow != 2*time.Second {
		t.Errorf("settings were parsed as %+v, want the values of the text", set)
	}
	for name, tc := range map[string]struct{ text, wantText string }{
		"no classes":     {"nInstances=3\n", "classes.count"},
		"not a number":   {"classes.count=1\nrules.fallMultiple=much\n", "rules.fallMultiple"},
		"nan":            {"classes.count=1\nrules.startCapacity=NaN\n", "rules.startCapacity"},
		"unknown effect": {"classes.count=1\nclasses.0.effect=maybe\n", "classes.0.effect"},
		"not a pair":     {"classes.count=1\nwhat is this\n", "line 2"},
		"not a flag":     {"classes.count=1\nceilings.cancel=yes\n", "ceilings.cancel"},
		"negative":       {"classes.count=-1\n", "classes.count"},
	} {
		if _, err := ParseSettings([]byte(tc.text)); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), tc.wantText) {
			t.Errorf("%s: error is %v, want one with %s", name, err, tc.wantText)
		}
	}
}

// FuzzSettings passes malformed text to the settings parser. It must not accept settings without classes.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("classes.count=1\nclasses.0.effect=free\n"))
	f.Add([]byte("classes.count=99999999\n"))
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := ParseSettings(text)
		if err == nil && len(set.Classes) == 0 {
			t.Fatalf("parser accepted settings without classes: %+v, want an error", set)
		}
	})
}
