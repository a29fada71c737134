package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/emulator/check"
)

func pool(base uint64, name, value string) configlog.Change {
	return configlog.Change{Base: base, Author: "test", Records: []configlog.Record{{Key: configlog.PoolKey(name), Value: []byte(value)}}}
}

// TestConfiguration proposes changes through the death of a leader and of the majority: who waits
// hears of them, who lost is told, and what one voter has alone is said to be no more than that.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	c := g.client()
	propose := func(change configlog.Change) uint64 {
		t.Helper()
		v, err := c.Propose(within(t, check.Soon), change)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	agreed := func(since uint64, wait time.Duration) (n News) {
		t.Helper()
		check.Eventually(t, "a majority answers", func() bool {
			var err error
			n, err = c.Config(within(t, check.Soon), since, wait)
			return err == nil && n.Agreed
		})
		return n
	}
	if n := agreed(0, 0); n.Version != 0 || n.Forgotten || len(n.Changes) != 0 {
		t.Errorf("before any change: %+v", n)
	}
	heard := make(chan News, 1)
	go func() {
		n, err := c.Config(t.Context(), 0, 20*time.Second)
		if err != nil {
			t.Error(err)
		}
		heard <- n
	}()
	if v := propose(pool(0, "a", `{"at":1}`)); v != 1 {
		t.Fatalf("version %d", v)
	}
	n := <-heard
	mine := configlog.New()
	if len(n.Changes) != 1 || !n.Agreed || mine.Apply(n.Changes[0]) != nil || mine.Digest() != n.Digest {
		t.Fatalf("who waited heard %+v", n)
	}
	if _, err := c.Propose(within(t, check.Soon), pool(0, "a", `{"at":2}`)); !errors.Is(err, configlog.ErrConflict) {
		t.Errorf("on a version that is over: %v", err)
	}

	g.end(g.leader())
	lead := g.leader()
	propose(pool(1, "b", "{}"))
	n = agreed(1, 0)
	if len(n.Changes) != 1 || mine.Apply(n.Changes[0]) != nil || mine.Digest() != n.Digest {
		t.Fatalf("behind version 1: %+v", n)
	}
	s, err := c.ConfigSnapshot(within(t, check.Soon), 1)
	if err != nil || s.Digest() != mine.Digest() {
		t.Errorf("a snapshot: %v", err)
	}
	if _, err := c.ConfigSnapshot(within(t, check.Soon), 2); !errors.Is(err, ErrSnapshot) {
		t.Errorf("a snapshot beyond the newest: %v", err)
	}

	for name := range g.addrs {
		if name != lead {
			g.end(name)
		}
	}
	check.Eventually(t, "a voter alone gives what it has", func() bool {
		n, err := c.Config(within(t, check.Soon), 1, 0)
		return err == nil && !n.Agreed && n.Version == 2 && len(n.Changes) == 1
	})
	for name := range g.addrs {
		if name != lead {
			g.start(name)
		}
	}
	if n := agreed(0, 0); n.Version != 2 || n.Digest != mine.Digest() || len(n.Changes) != 2 {
		t.Errorf("after all of them were ended: %+v", n)
	}
}

// TestConfigurationRevived puts back-ups with and without a configuration into a group: who follows it
// gets a whole snapshot, beyond all versions, and never one that has gone back.
func TestConfigurationRevived(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a")
	c := g.client()
	back := func() Backup {
		t.Helper()
		b, err := c.Backup(within(t, check.Soon))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	without := back()
	if bytes.Contains(without.State, []byte("Conf")) {
		t.Errorf("a group without a configuration keeps another form: %s", without.State)
	}
	var last uint64
	for i := range 3 {
		var err error
		if last, err = c.Propose(within(t, check.Soon), pool(last, fmt.Sprint("p", i), "{}")); err != nil {
			t.Fatal(err)
		}
	}
	with := back()
	if _, err := c.Propose(within(t, check.Soon), pool(last, "later", "{}")); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		name  string
		b     Backup
		pools int
	}{{"without", without, 4}, {"with", with, 3}} {
		b, err := Unseal(x.b.Seal())
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Revive(within(t, check.Soon), b); err != nil {
			t.Fatal(err)
		}
		n, err := c.Config(within(t, check.Soon), last, 0)
		if err != nil || !n.Forgotten || n.Version <= last {
			t.Fatalf("%s: %+v %v after version %d", x.name, n, err, last)
		}
		s, err := c.ConfigSnapshot(within(t, check.Soon), last)
		if err != nil || s.Len() != x.pools || s.Digest() != n.Digest {
			t.Fatalf("%s: %v", x.name, err)
		}
	}
	if _, err := c.Propose(within(t, check.Soon), configlog.Change{}); !errors.Is(err, fsm.ErrMalformed) {
		t.Errorf("an empty proposal: %v", err)
	}
}
