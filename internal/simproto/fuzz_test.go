package simproto

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// FuzzDecode feeds the decoder hostile frames. It must end, with an error or at the frame's end, and neither panic nor
// allocate beyond the frame.
func FuzzDecode(f *testing.F) {
	head := "\x10\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x00\x00\x00\x00"
	f.Add([]byte(head))
	f.Add([]byte(head + "\x06\x0a\x00\x00\x00\x03\x00"))
	f.Add([]byte("\x1b\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x01\x00\x00\x00\x05\x06\x00\x00\x00\x05\x00\x01\x02\x03\x04"))
	f.Add([]byte("\x28\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x01\x00\x00\x00\x01\x13\x00\x00\x00\x03\x00\x00\x00\x00\x00\x00\x00\x00\x00\x02\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		var d Decoder
		if err := d.Reset(frame); err != nil {
			if !errors.Is(err, ErrFormat) {
				t.Fatalf("unmarked error %v", err)
			}
			return
		}
		for n := 0; ; n++ {
			var ev Event
			err := d.Next(&ev)
			if err != nil {
				if err != io.EOF && !errors.Is(err, ErrFormat) { //nolint:errorlint // Next promises io.EOF itself, not wrapped
					t.Fatalf("unmarked error %v", err)
				}
				return
			}
			if n > len(frame) || len(ev.Entries)*entrySize > len(frame) {
				t.Fatalf("%d records and %d entries from %d bytes", n, len(ev.Entries), len(frame))
			}
		}
	})
}

// FuzzSettings feeds the settings parser hostile text. It must not accept settings without classes.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("classes.count=1\nclasses.0.effect=free\n"))
	f.Add([]byte("classes.count=99999999\n"))
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := ParseSetup(text)
		if err == nil && len(set.Classes) == 0 {
			t.Fatalf("accepted settings without classes: %+v", set)
		}
	})
}

// TestParseSetup reads settings, and then some with one fault each. The error names the key or line.
func TestParseSetup(t *testing.T) {
	good := "classes.count=1\nclasses.0.effect=guarded\nclasses.0.dedupScope=cell\nclasses.0.windowMs=2000.0\nclasses.0.objectiveMs=500\n" +
		"discovery=ask\nmyNumber=3\nnInstances=7\naz=1\nunknown.key=whatever\nceilings.cancel=true\nrules.warmWithinMs=1500.5\ncosts.handshake=0.5\nceilings.keepaliveMs=9000\n"
	set, err := ParseSetup([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if set.NodeIndex != 3 || set.NodeCount != 7 || set.HandshakeCost != 0.5 || set.IdleTimeout != 9*time.Second || set.Zone != 1 || !set.PollDiscovery || !set.CancelAttempts || set.Hedging ||
		set.SlowStartWindow != 1500500*time.Microsecond || set.Classes[0].DedupWindow != 2*time.Second {
		t.Errorf("parsed as %+v", set)
	}
	for name, c := range map[string]struct{ text, says string }{
		"no classes": {"nInstances=3\n", "classes.count"},
		"no number":  {"classes.count=1\nrules.fallMultiple=much\n", "rules.fallMultiple"},
		"nan":        {"classes.count=1\nrules.startCapacity=NaN\n", "rules.startCapacity"},
		"no effect":  {"classes.count=1\nclasses.0.effect=maybe\n", "classes.0.effect"},
		"no pair":    {"classes.count=1\nwhat is this\n", "line 2"},
		"no flag":    {"classes.count=1\nceilings.cancel=yes\n", "ceilings.cancel"},
		"negative":   {"classes.count=-1\n", "classes.count"},
	} {
		if _, err := ParseSetup([]byte(c.text)); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: error is %v, want one that names %s", name, err, c.says)
		}
	}
}
