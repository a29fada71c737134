package consensus

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/mtls"
)

// testGroup is a group of voters on loopback, each of which can be ended and started again.
type testGroup struct {
	t     *testing.T
	auth  *emulator.Authority
	dir   string
	addrs map[string]string // by name

	mu     sync.Mutex
	voters map[string]*Voter
	stable func(raft.StableStore) raft.StableStore // of the voters that start from now on
	side   map[string]int                          // by address: voters of unlike sides are cut off from each other
	wires  map[net.Conn][2]string                  // from one address to another
}

// split cuts the voters into sides; those that are not named are on side 0.
func (g *testGroup) split(sides map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.side = make(map[string]int)
	for name, side := range sides {
		g.side[g.addrs[name]] = side
	}
	for c, ends := range g.wires {
		if g.side[ends[0]] != g.side[ends[1]] {
			c.Close()
			delete(g.wires, c)
		}
	}
}

// dialFrom is the dialer of a voter at an address.
func (g *testGroup) dialFrom(from string) dialer {
	return func(ctx context.Context, t *tls.Config, to, speaks string) (net.Conn, error) {
		cut := func() bool { return g.side[from] != g.side[to] }
		g.mu.Lock()
		away := cut()
		g.mu.Unlock()
		if away {
			return nil, errors.New("cut off")
		}
		c, err := dial(ctx, t, to, speaks)
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if cut() {
			c.Close()
			return nil, errors.New("cut off")
		}
		g.wires[c] = [2]string{from, to}
		return c, nil
	}
}

func newGroup(t *testing.T, names ...string) *testGroup {
	t.Helper()
	g := &testGroup{t: t, dir: t.TempDir(), addrs: make(map[string]string), voters: make(map[string]*Voter), wires: make(map[net.Conn][2]string)}
	g.auth = check.Must[*emulator.Authority](t)(emulator.NewAuthority(g.dir))
	for _, n := range names {
		g.addrs[n] = check.Unused(t)
	}
	for _, n := range names {
		if err := Begin(g.folder(n), n, g.addrs); err != nil {
			t.Fatal(err)
		}
		g.start(n)
	}
	t.Cleanup(func() {
		for n := range g.voters {
			g.end(n)
		}
	})
	return g
}

func (g *testGroup) folder(name string) string { return filepath.Join(g.dir, "voter-"+name) }

func (g *testGroup) files(name string) mtls.Files {
	g.t.Helper()
	cert, key, err := g.auth.Issue(name)
	if err != nil {
		g.t.Fatal(err)
	}
	return mtls.Files{Certificate: cert, Key: key, Authorities: g.auth.File}
}

func (g *testGroup) options(name string) Options {
	g.t.Helper()
	return Options{Listen: g.addrs[name], Dir: g.folder(name), Files: g.files(VoterName), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), dial: g.dialFrom(g.addrs[name]), stable: g.stable}
}

func (g *testGroup) start(name string) *Voter {
	g.t.Helper()
	v, err := Start(g.options(name))
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.voters[name] = v
	return v
}

func (g *testGroup) end(name string) {
	g.mu.Lock()
	v := g.voters[name]
	delete(g.voters, name)
	g.mu.Unlock()
	if v != nil {
		v.Close()
	}
}

// leader waits for a voter that leads, and gives its name.
func (g *testGroup) leader() (name string) {
	g.t.Helper()
	check.Eventually(g.t, "one leads", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for n, v := range g.voters {
			if v.Leader() == g.addrs[n] {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func (g *testGroup) client() *Client {
	g.t.Helper()
	var addrs []string
	for _, a := range g.addrs {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	c := check.Must[*Client](g.t)(NewClient(addrs, g.files("client")))
	g.t.Cleanup(c.Close)
	return c
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// op is one call on an entry, and what came of it. Rev is what a reader saw or a writer
// made, unless another had changed the entry.
type op struct {
	write, changed bool
	from, rev      uint64
}

// register is an entry as calls see it one at a time: its state is its revision.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, _ any) (bool, any) {
		rev, o := state.(uint64), in.(op)
		switch {
		case !o.write:
			return rev == o.rev, rev
		case o.changed:
			return rev != o.from, rev
		default:
			return rev == o.from, o.rev
		}
	},
}

// TestHistories has clients write and read an entry while voters are ended and started, the
// leader first of all: what they saw can be told as one call after another. A writer knows
// what it made by the session, whoever led when the answer came.
func TestHistories(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.leader()
	rng := rand.New(rand.NewPCG(16, 1))
	var mu sync.Mutex
	var history []porcupine.Operation
	stop := make(chan struct{})
	var all sync.WaitGroup
	start := time.Now()
	for i := range 5 {
		c, seed := g.client(), rng.Uint64()
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 2))
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				default:
				}
				o := op{write: rng.IntN(2) == 0, from: last}
				call := time.Since(start)
				var err error
				if o.write {
					var r fsm.Result
					r, err = c.Do(t.Context(), fsm.Command{Op: fsm.Put, Name: "k", If: last, Value: []byte("v")})
					if o.changed = errors.Is(err, fsm.ErrChanged); o.changed {
						err = nil
					}
					o.rev = r.Rev
				} else {
					var v View
					all := ""
					if v, err = c.Read(t.Context(), Ask{Entries: &all}); err == nil && len(v.Entries) == 1 {
						o.rev = v.Entries[0].Rev
					}
				}
				if err != nil {
					t.Errorf("client %d: %v", i, err)
					return
				}
				if !o.changed {
					last = o.rev
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: i, Input: o, Call: call.Nanoseconds(), Return: time.Since(start).Nanoseconds()})
				mu.Unlock()
			}
		})
	}
	for i := range 3 {
		victim := g.leader()
		if i == 2 {
			victim = []string{"a", "b", "c"}[rng.IntN(3)]
		}
		mu.Lock()
		seen := len(history)
		mu.Unlock()
		g.end(victim)
		check.Eventually(t, "the others go on", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(history) > seen+100
		})
		g.start(victim)
	}
	close(stop)
	all.Wait()
	if !porcupine.CheckOperations(register, history) {
		t.Errorf("%d calls cannot be told one after another", len(history))
	}
}

// TestLease has two want one lease through the death of a leader and of its holder: never
// both have it, and the second has a greater number.
func TestLease(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	one := g.client().Hold("duty", "one", 2*time.Second)
	var first uint64
	check.Eventually(t, "the first has it", func() bool {
		f, ok := one.Fence()
		first = f
		return ok
	})
	two := g.client().Hold("duty", "two", 2*time.Second)
	defer two.Release(within(t, time.Second))
	g.end(g.leader())
	g.leader()
	check.Eventually(t, "the first renews at the next leader", func() bool {
		one.mu.Lock()
		defer one.mu.Unlock()
		return one.keeper.Until()-one.now() > 1500*time.Millisecond
	})
	if f, ok := two.Fence(); ok {
		t.Fatalf("both have it: %d and %d", first, f)
	}
	one.stop() // as one that died
	check.Eventually(t, "the second has it", func() bool {
		f, ok := two.Fence()
		if _, still := one.Fence(); ok && still {
			t.Error("both have it")
		}
		return ok && f > first
	})
}

// TestLostAndTorn starts voters of folders that are not what they were: each says so, and a
// new one takes the place of what is lost and knows what was agreed.
func TestLostAndTorn(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	c := g.client()
	if _, err := c.Do(within(t, check.Soon), fsm.Command{Op: fsm.Put, Name: "k", Value: []byte("v")}); err != nil {
		t.Fatal(err)
	}
	lead := g.leader()
	var lost string
	for n := range g.addrs {
		if n != lead {
			lost = n
		}
	}
	g.end(lost)
	log := filepath.Join(g.folder(lost), "log.db")
	text := check.Must[[]byte](t)(os.ReadFile(log))
	noise := slices.Clone(text)
	for i := range min(len(noise), 32<<10) {
		noise[i] ^= 0x5a
	}
	for name, damaged := range map[string][]byte{"torn": text[:len(text)/2], "noise": noise, "gone": nil} {
		opt := g.options(lost)
		opt.Dir = t.TempDir() // one each: what cannot be opened stays locked in this process
		if err := (identity{ID: lost, Begun: true}).write(opt.Dir); err != nil {
			t.Fatal(err)
		}
		if damaged != nil {
			if err := os.WriteFile(filepath.Join(opt.Dir, "log.db"), damaged, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		v, err := Start(opt)
		if err == nil {
			v.Close()
		}
		if !errors.Is(err, ErrLogTorn) && !errors.Is(err, ErrLogGone) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := os.RemoveAll(g.folder(lost)); err != nil {
		t.Fatal(err)
	}
	if _, err := Start(g.options(lost)); !errors.Is(err, ErrNoFolder) {
		t.Errorf("an empty folder: %v", err)
	}

	if err := Join(g.folder(lost), lost); err != nil {
		t.Fatal(err)
	}
	again := g.start(lost)
	for _, change := range []Change{{Remove: lost}, {Add: again.ID(), Addr: again.Addr()}} {
		if err := c.Change(within(t, check.Soon), change); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Change(within(t, check.Soon), Change{Remove: lost + "?"}); !errors.Is(err, ErrVoters) {
		t.Errorf("one that is no voter: %v", err)
	}
	check.Eventually(t, "the new voter knows what was agreed", func() bool {
		again.machine.mu.Lock()
		defer again.machine.mu.Unlock()
		_, ok := again.machine.state.Entry("k")
		return ok
	})
	all, err := c.Status(within(t, check.Soon), g.addrs[lead])
	if err != nil || len(all.Voters) != 3 || !all.Leads || slices.ContainsFunc(all.Voters, func(m Member) bool { return m.ID == lost }) {
		t.Errorf("voters: %+v %v", all, err)
	}
	check.Eventually(t, "the new voter has noted that it was taken in", func() bool {
		who, err := readIdentity(g.folder(lost))
		return err == nil && who.Begun
	})
}

// TestAllRestarted ends all voters and starts them again: what was agreed is there, and a
// single voter of a group of one needs nobody.
func TestAllRestarted(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}} {
		t.Run(fmt.Sprint(len(names)), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, names...)
			c := g.client()
			r, err := c.Do(within(t, check.Soon), fsm.Command{Op: fsm.Acquire, Name: "l", Holder: "h", TTL: time.Hour})
			if err != nil {
				t.Fatal(err)
			}
			for _, n := range names {
				g.end(n)
			}
			for _, n := range names {
				g.start(n)
			}
			all := ""
			v, err := c.Read(within(t, check.Soon), Ask{Leases: &all})
			if err != nil || len(v.Leases) != 1 || v.Leases[0].Fence != r.Fence {
				t.Errorf("got %+v %v, want the lease of %+v", v, err, r)
			}
		})
	}
}

// TestRevived puts a back-up into a group that has come further, and into a new one whose
// predecessor is lost: entries are as they were, leases are free, and numbers go on growing.
func TestRevived(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	c := g.client()
	do := func(c *Client, cmd fsm.Command) fsm.Result {
		t.Helper()
		r, err := c.Do(within(t, check.Soon), cmd)
		if err != nil {
			t.Fatalf("%+v: %v", cmd, err)
		}
		return r
	}
	kept := do(c, fsm.Command{Op: fsm.Put, Name: "k", Value: []byte("then")})
	do(c, fsm.Command{Op: fsm.Acquire, Name: "l", Holder: "one", TTL: time.Hour})
	b, err := c.Backup(within(t, check.Soon))
	if err != nil {
		t.Fatal(err)
	}
	sealed := b.Seal()
	do(c, fsm.Command{Op: fsm.Put, Name: "k", If: kept.Rev, Value: []byte("later")})
	last := do(c, fsm.Command{Op: fsm.Acquire, Name: "m", Holder: "one", TTL: time.Hour})

	for i := range sealed { // every byte of the seal, and some behind it
		if i > 200 && i%97 > 0 {
			continue
		}
		bad := slices.Clone(sealed)
		bad[i] ^= 1
		if _, err := Unseal(bad); !errors.Is(err, ErrBackup) {
			t.Fatalf("byte %d of %d is another: %v", i, len(sealed), err)
		}
	}
	if b, err = Unseal(sealed); err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Client{c, newGroup(t, "d").client()} {
		if err := c.Revive(within(t, check.Soon), b); err != nil {
			t.Fatal(err)
		}
		all := ""
		v, err := c.Read(within(t, check.Soon), Ask{Leases: &all, Entries: &all})
		if err != nil || len(v.Leases) != 0 || len(v.Entries) != 1 || string(v.Entries[0].Value) != "then" {
			t.Fatalf("got %+v %v", v, err)
		}
		if r := do(c, fsm.Command{Op: fsm.Acquire, Name: "l", Holder: "two", TTL: time.Hour}); r.Fence <= last.Fence {
			t.Errorf("fencing number %d after %d", r.Fence, last.Fence)
		}
	}
	check.Eventually(t, "all voters have it", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, v := range g.voters {
			v.machine.mu.Lock()
			l, ok := v.machine.state.Lease("l")
			v.machine.mu.Unlock()
			if !ok || l.Holder != "two" {
				return false
			}
		}
		return true
	})
}

// TestSplits cuts five voters into sides: the side of a majority goes on, on the others
// nothing is agreed and nothing is read, and after the cut all know the same.
func TestSplits(t *testing.T) {
	g := newGroup(t, "a", "b", "c", "d", "e")
	rev := uint64(0)
	for _, few := range [][]string{{"leader", "other"}, {"leader"}, {"one", "other"}} {
		lead := g.leader()
		sides, n := make(map[string]int), 0
		for _, who := range few {
			name := lead
			if who != "leader" {
				for name = range g.addrs {
					if name != lead && sides[name] == 0 {
						break
					}
				}
			}
			if n++; len(few) > 1 && few[0] == "one" {
				sides[name] = n // each alone: 1 + 1 + 3
			} else {
				sides[name] = 1 // together: 2 + 3
			}
		}
		g.split(sides)
		var most, least []string
		for name, addr := range g.addrs {
			if sides[name] == 0 {
				most = append(most, addr)
			} else {
				least = append(least, addr)
			}
		}
		major := check.Must[*Client](t)(NewClient(most, g.files("client")))
		minor := check.Must[*Client](t)(NewClient(least, g.files("client")))
		r, err := major.Do(within(t, check.Soon), fsm.Command{Op: fsm.Put, Name: "k", If: rev, Value: []byte("v")})
		if err != nil {
			t.Fatalf("%v: the majority: %v", few, err)
		}
		rev = r.Rev
		for _, addr := range least { // each asked alone: whom it names is on the other side
			var v View
			ctx := within(t, 2*time.Second)
			if _, err := minor.one(ctx, addr, "/v1/read", []byte(`{"Entries":""}`), &v, askWithin); err == nil && (len(v.Entries) != 1 || v.Entries[0].Rev != rev) {
				t.Errorf("%v: %s reads %+v at %d", few, addr, v, rev)
			}
			var r fsm.Result
			if _, err := minor.one(ctx, addr, "/v1/do", []byte(`{"Op":"put","Name":"lost"}`), &r, askWithin); err == nil {
				t.Errorf("%v: %s agreed on %+v", few, addr, r)
			}
		}
		g.split(nil)
		check.Eventually(t, "all know the same", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			for _, v := range g.voters {
				v.machine.mu.Lock()
				e, ok := v.machine.state.Entry("k")
				v.machine.mu.Unlock()
				if !ok || e.Rev != rev {
					return false
				}
			}
			return true
		})
		major.Close()
		minor.Close()
	}
}

// TestStrangers has ends that are no voters speak to one: raft is for voters alone, calls
// for the authority's, and a majority that is lost answers nobody.
func TestStrangers(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	lead := g.leader()
	tls, err := g.files("client").Load(VoterName)
	if err != nil {
		t.Fatal(err)
	}
	c, err := dial(t.Context(), tls, g.addrs[lead], speaksRaft)
	if err == nil { // its handshake ends before it has been judged
		_ = c.SetReadDeadline(time.Now().Add(check.Soon))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("a client speaks raft: %d", n)
		}
		c.Close()
	}
	other := check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir()))
	cert, key, err := other.Issue(VoterName)
	if err != nil {
		t.Fatal(err)
	}
	stranger := check.Must[*Client](t)(NewClient([]string{g.addrs[lead]}, mtls.Files{Certificate: cert, Key: key, Authorities: g.auth.File}))
	if _, err := stranger.Do(within(t, 500*time.Millisecond), fsm.Command{Op: fsm.Put, Name: "k"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("another authority's: %v", err)
	}
	for n := range g.addrs {
		if n != lead {
			g.end(n)
		}
	}
	if r, err := g.client().Do(within(t, 2*time.Second), fsm.Command{Op: fsm.Put, Name: "k"}); !errors.Is(err, ErrUnknown) {
		t.Errorf("without a majority: %+v %v", r, err)
	}
}
