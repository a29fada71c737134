package fsm

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasperpin/internal/configlog"
	_ "jasperpin/internal/seeded"
)

// proposed is a proposal of one pool, encoded.
func proposed(base uint64, pool, value string) []byte {
	return configlog.AppendChange(nil, configlog.Change{Base: base, Records: []configlog.Record{{Key: configlog.PoolKey(pool), Value: []byte(value)}}})
}

// drawn is a command out of few names, so that they meet.
func drawn(r *rapid.T, fences []uint64) Command {
	c := Command{
		Elapsed: time.Duration(rapid.IntRange(0, 3).Draw(r, "elapsed")) * time.Second,
		Op:      rapid.SampledFrom([]Op{Tick, Acquire, Acquire, Renew, Release, Put, Put, Delete, Config, "other"}).Draw(r, "op"),
		Name:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "name"),
		Holder:  rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "holder"),
		TTL:     time.Duration(rapid.IntRange(1, 5).Draw(r, "ttl")) * time.Second,
		If:      uint64(rapid.IntRange(0, 12).Draw(r, "if")),
		Value:   []byte{byte(rapid.IntRange(0, 255).Draw(r, "value"))},
	}
	if c.Op == Config {
		c.Change = proposed(uint64(rapid.IntRange(0, 6).Draw(r, "base")), c.Name, fmt.Sprintf("{\"v\":%d}", c.Value[0]))
	}
	if len(fences) > 0 {
		c.Fence = rapid.SampledFrom(fences).Draw(r, "fence")
	}
	return c
}

// TestPromises holds a state to what its users build on: fencing numbers only grow, no
// lease has two holders within the time that it was granted for, an entry changes only from
// the revision that was named, and a command that comes again does nothing.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := New()
		type grant struct {
			holder string
			until  time.Duration
		}
		granted := make(map[string]grant)
		revs, pools := make(map[string]uint64), make(map[string]uint64)
		var fences []uint64
		var last uint64
		for n := range rapid.IntRange(1, 60).Draw(r, "commands") {
			c := drawn(r, fences)
			c.Session, c.Number = "s", uint64(n+1)
			was := s.Rev()
			got := s.Apply(c)
			once, err := s.Snapshot()
			if err != nil {
				r.Fatal(err)
			}
			c.Elapsed = 0
			if again := s.Apply(c); again != got {
				r.Fatalf("%+v again: %+v after %+v", c, again, got)
			}
			if twice, _ := s.Snapshot(); !bytes.Equal(once, twice) {
				r.Fatalf("%+v again changed\n%s to\n%s", c, once, twice)
			}
			if got.Rev < was {
				r.Fatalf("revision %d after %d", got.Rev, was)
			}
			switch held := granted[c.Name]; {
			case got.Err() != nil:
			case c.Op == Acquire || c.Op == Renew:
				if held.holder != c.Holder {
					if held.until > s.now {
						r.Fatalf("%s has %s until %v, and %s got it at %v", held.holder, c.Name, held.until, c.Holder, s.now)
					}
					if got.Fence <= last {
						r.Fatalf("fencing number %d after %d", got.Fence, last)
					}
				}
				last = max(last, got.Fence)
				fences = append(fences, got.Fence)
				granted[c.Name] = grant{c.Holder, max(held.until, s.now+c.TTL)}
			case c.Op == Release:
				delete(granted, c.Name)
			case c.Op == Put:
				if revs[c.Name] != c.If {
					r.Fatalf("%s changed from %d, which is at %d", c.Name, c.If, revs[c.Name])
				}
				e, ok := s.Entry(c.Name)
				if !ok || !bytes.Equal(e.Value, c.Value) {
					r.Fatalf("%s holds %v after %v", c.Name, e, c.Value)
				}
				revs[c.Name] = e.Rev
			case c.Op == Config:
				p, err := configlog.DecodeChange(c.Change)
				if err != nil {
					r.Fatal(err)
				}
				if pools[c.Name] > p.Base {
					r.Fatalf("%s changed on %d, and was at %d", c.Name, p.Base, pools[c.Name])
				}
				if pools[c.Name] = got.Version; got.Version != s.Conf().Version() {
					r.Fatalf("version %d, and the configuration is at %d", got.Version, s.Conf().Version())
				}
			case c.Op == Delete:
				if revs[c.Name] != c.If || c.If == 0 {
					r.Fatalf("%s, at %d, was deleted at %d", c.Name, revs[c.Name], c.If)
				}
				delete(revs, c.Name)
			}
		}
	})
}

// TestVotersAgree has a voter that joined from a snapshot give the same results and come to
// the same state, and one that follows the changes know what is there.
func TestVotersAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		one := New()
		two := New()
		leases, entries := make(map[string]bool), make(map[string]bool)
		seen := uint64(0)
		var fences []uint64
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			c := drawn(r, fences)
			a, b := one.Apply(c), two.Apply(c)
			if a != b {
				r.Fatalf("%+v: %+v and %+v", c, a, b)
			}
			if a.Fence > 0 {
				fences = append(fences, a.Fence)
			}
			if rapid.IntRange(0, 9).Draw(r, "joins anew") == 0 {
				text, err := one.Snapshot()
				if err != nil {
					r.Fatal(err)
				}
				if two, err = Restore(text); err != nil {
					r.Fatal(err)
				}
			}
			news, ok := two.Since(seen)
			if !ok {
				r.Fatalf("the changes since %d are forgotten at %d", seen, two.Rev())
			}
			for _, e := range news {
				at := entries
				if e.Lease {
					at = leases
				}
				at[e.Name] = !e.Gone
				seen = e.Rev
			}
		}
		for _, name := range []string{"a", "b", "c"} {
			_, held := two.Lease(name)
			_, there := two.Entry(name)
			if held != leases[name] || there != entries[name] {
				r.Fatalf("%s: lease %v, entry %v; by the changes %v and %v", name, held, there, leases[name], entries[name])
			}
		}
		x, _ := one.Snapshot()
		y, _ := two.Snapshot()
		if !bytes.Equal(x, y) {
			r.Fatalf("%s\nand\n%s", x, y)
		}
	})
}

// TestBounds fills a state: what is beyond is turned down, and what was there stays.
func TestBounds(t *testing.T) {
	s := New()
	for i := range MaxLeases + 1 {
		err := s.Apply(Command{Op: Acquire, Name: fmt.Sprint("l", i), Holder: "h", TTL: time.Second}).Err()
		if full := i == MaxLeases; errors.Is(err, ErrFull) != full {
			t.Fatalf("lease %d: %v", i, err)
		}
	}
	for i := range MaxSessions + 1 {
		err := s.Apply(Command{Op: Tick, Session: fmt.Sprint("s", i), Number: 1}).Err()
		if full := i == MaxSessions; errors.Is(err, ErrFull) != full {
			t.Fatalf("session %d: %v", i, err)
		}
	}
	for i := range MaxBytes/MaxValue + 1 {
		err := s.Apply(Command{Op: Put, Name: fmt.Sprintf("%05d", i), Value: make([]byte, MaxValue-5)}).Err()
		if full := i == MaxBytes/MaxValue; errors.Is(err, ErrFull) != full {
			t.Fatalf("entry %d: %v", i, err)
		}
	}
	if _, ok := s.Since(0); ok {
		t.Error("changes are remembered without a bound")
	}
	for range 10 { // a minute each, at the most
		s.Apply(Command{Op: Tick, Elapsed: time.Hour})
	}
	if len(s.Leases("")) != 0 || len(s.sessions) != 0 {
		t.Errorf("%d leases and %d sessions outlive their time", len(s.Leases("")), len(s.sessions))
	}
}

// TestConfiguration has two propose on one version: the second is told what it ran into, the same when
// it asks again, and a back-up restores the configuration, beyond every version that a node may have.
func TestConfiguration(t *testing.T) {
	s := New()
	before, err := s.Snapshot() // as programs without a configuration write them
	if err != nil {
		t.Fatal(err)
	}
	if r := s.Apply(Command{Op: Config, Session: "one", Number: 1, Change: proposed(0, "a", "{}")}); r.Err() != nil || r.Version != 1 {
		t.Fatalf("the first: %+v %v", r, r.Err())
	}
	lost := Command{Op: Config, Session: "two", Number: 1, Change: proposed(0, "a", `{"b":1}`)}
	r := s.Apply(lost)
	if err := r.Err(); !errors.Is(err, configlog.ErrConflict) || !strings.Contains(err.Error(), "pool/a changed at version 1") {
		t.Errorf("the second: %v", err)
	}
	if again := s.Apply(lost); again != r {
		t.Errorf("the second again: %+v, it was %+v", again, r)
	}
	if again := s.Apply(Command{Op: Config, Session: "one", Number: 1, Change: proposed(0, "a", "{}")}); again.Version != 1 || s.Conf().Version() != 1 {
		t.Errorf("the first again: %+v, and the configuration is at %d", again, s.Conf().Version())
	}
	for _, bad := range [][]byte{nil, {1}, proposed(9, "a", "{}")} {
		if err := s.Apply(Command{Op: Config, Change: bad}).Err(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", bad, err)
		}
	}

	after, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Restore(after)
	if err != nil || again.Conf().Digest() != s.Conf().Digest() {
		t.Fatalf("restored: %v", err)
	}
	if news, ok := again.Conf().Since(0); !ok || len(news) != 1 {
		t.Errorf("restored: %d changes are remembered, %v", len(news), ok)
	}
	older := Command{Op: Config, Change: proposed(1, "b", "{}")}
	if r := s.Apply(older); r.Err() != nil {
		t.Fatal(r.Err())
	}
	for _, c := range []struct {
		name   string
		backup []byte
		pools  int
		from   uint64
	}{{"of a configuration", after, 1, 1}, {"from before there was one", before, 2, 2}} {
		was := s.Conf().Version()
		back, err := Revive(c.backup, s.Conf())
		if err != nil {
			t.Fatal(err)
		}
		if v := back.Conf().Version(); back.Conf().Len() != c.pools || v <= was || v != c.from+1<<32 {
			t.Errorf("a back-up %s: %d pools at version %d, after %d", c.name, back.Conf().Len(), v, was)
		}
		if s.Conf().Version() != was {
			t.Errorf("a back-up %s changed what was agreed", c.name)
		}
	}
	if plain, err := Revive(before, configlog.New()); err != nil || plain.Conf().Version() != 0 {
		t.Errorf("neither has a configuration: version %d, %v", plain.Conf().Version(), err)
	}
}

// FuzzRestore reads snapshots: each is refused, or is a state that goes on.
func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(Command{Op: Acquire, Name: "a", Holder: "x", TTL: time.Second, Session: "s", Number: 1})
	s.Apply(Command{Op: Put, Name: "k", Value: []byte("v")})
	s.Apply(Command{Op: Config, Change: proposed(0, "a", "{}")})
	text, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"Format":1,"Rev":3,"Events":[{"Rev":2}]}`))
	f.Add([]byte(`{"Format":2}`))
	f.Add([]byte(`{"Format":2,"Conf":"AAAA"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Restore(text)
		if err != nil {
			return
		}
		again, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(again); err != nil {
			t.Errorf("%s: %v", again, err)
		}
		s.Apply(Command{Op: Acquire, Name: "a", Holder: "y", TTL: time.Second, Elapsed: time.Second})
	})
}
