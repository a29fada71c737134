package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/gossip"
)

// FleetOptions say what a fleet is made of.
type FleetOptions struct {
	Members int
	Dir     string // of files and logs
	Seed    uint64 // of the network's draws
	// Node starts a node by its file.
	Node  func(dir, name, file string) (*Process, error)
	Table string             // lines more for [members]
	Rest  func(i int) string // tables more of each, if set
	Seeds []string           // of members, before the first two
	// Leases says that parts end with leases: a process that is paused, for longer than its own, has
	// none from then on until it says so anew.
	Leases bool
}

// Service is what the file of a node says of its service where nobody calls it.
const Service = `[[service]]
name = "s"
[[service.route]]
pool = "p"
[[pool]]
name = "p"
servers = ["127.0.0.1:1"]
[[pool.class]]
name = "look"
repeat = "safe"
aim = "1s"
deadline = "2s"
`

// Fleet is many nodes that are members of one fleet, as processes, with a network between them.
type Fleet struct {
	*Relay
	opts  FleetOptions
	procs []*Process
	lived []life // all processes that there were
	// lapses are pauses that outlast leases.
	lapses []life
}

// life is what a process has logged of itself.
type life struct {
	member int
	proc   *Process
	ended  time.Time // when it was known to have ended, or was paused; zero while it runs
}

// NewFleet lays a fleet out; Start starts its processes.
func NewFleet(o FleetOptions) (*Fleet, error) {
	r, err := NewRelay(o.Members, o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Relay: r, opts: o, procs: make([]*Process, o.Members)}
	for i := range o.Members {
		if err := f.write(i); err != nil {
			r.Close()
			return nil, err
		}
	}
	return f, nil
}

// Name is a member's.
func (f *Fleet) Name(i int) string { return fmt.Sprintf("n%02d", i) }

// Door is where a member's operators call.
func (f *Fleet) Door(i int) string {
	return "unix:" + filepath.Join(f.opts.Dir, f.Name(i)+".door")
}

// File is a member's file.
func (f *Fleet) File(i int) string { return filepath.Join(f.opts.Dir, f.Name(i)+".toml") }

// write writes a member's file. The first begins the fleet, and is a seed with the second.
func (f *Fleet) write(i int) error {
	seeds := slices.Clone(f.opts.Seeds)
	for s := range min(2, f.opts.Members) {
		if s != i {
			seeds = append(seeds, f.Shown(s).String())
		}
	}
	for i, s := range seeds {
		seeds[i] = strconv.Quote(s)
	}
	rest := ""
	if f.opts.Rest != nil {
		rest = f.opts.Rest(i)
	}
	text := fmt.Sprintf(`[node]
name = %q
listen = ["127.0.0.1:0"]
control = %q
[members]
listen = %q
advertise = %q
seeds = [%s]
first = %v
folder = %q
%s
%s%s
`, f.Name(i), f.Door(i), f.Own(i), f.Shown(i), strings.Join(seeds, ", "), i == 0, f.Name(i)+"-lives", f.opts.Table, Service, rest)
	return os.WriteFile(f.File(i), []byte(text), 0o600)
}

// Start starts members that do not run.
func (f *Fleet) Start(members ...int) error {
	for _, i := range members {
		p, err := f.opts.Node(f.opts.Dir, f.Name(i), f.File(i))
		if err != nil {
			return err
		}
		f.procs[i] = p
		f.lived = append(f.lived, life{member: i, proc: p})
	}
	return nil
}

// Running are the members whose processes have been started and not ended.
func (f *Fleet) Running() (all []int) {
	for i, p := range f.procs {
		if p != nil {
			all = append(all, i)
		}
	}
	return all
}

// Process is a member's, or nil.
func (f *Fleet) Process(i int) *Process { return f.procs[i] }

// Kill ends members without a word to them.
func (f *Fleet) Kill(members ...int) {
	for _, i := range members {
		f.procs[i].Kill()
		f.gone(i)
	}
}

// End has members end by themselves, side by side.
func (f *Fleet) End(members ...int) error {
	errs := make([]error, len(members))
	var wait sync.WaitGroup
	for n, i := range members {
		wait.Go(func() { errs[n] = f.procs[i].End() })
	}
	wait.Wait()
	for _, i := range members {
		f.gone(i)
	}
	return errors.Join(errs...)
}

// Forget takes note that a member has ended by itself.
func (f *Fleet) Forget(i int) error {
	<-f.procs[i].ended
	err := f.procs[i].err
	f.gone(i)
	return err
}

func (f *Fleet) gone(i int) {
	for l := range f.lived {
		if f.lived[l].proc == f.procs[i] {
			f.lived[l].ended = time.Now()
		}
	}
	f.procs[i] = nil
}

// Pause stops members' processes, or lets them go on.
func (f *Fleet) Pause(on bool, members ...int) error {
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	var errs []error
	for _, i := range members {
		errs = append(errs, f.procs[i].Signal(sig))
		if on && f.opts.Leases {
			f.lapses = append(f.lapses, life{i, f.procs[i], time.Now()})
		}
	}
	return errors.Join(errs...)
}

// Close ends all that runs, and the network.
func (f *Fleet) Close() {
	for _, i := range f.Running() {
		f.procs[i].Kill()
	}
	f.Relay.Close()
}

// askWait is how long a member may take to tell of the others.
const askWait = 2 * time.Second

// Members are the others as one of them knows them.
func (f *Fleet) Members(i int) ([]gossip.Member, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	lines, err := admin.Call(ctx, f.Door(i), "members")
	if err != nil {
		return nil, err
	}
	return gossip.ReadMembers(lines)
}

// Agree says whether each of some members hears just these, all serving, has an even part of them,
// and counts nobody else.
func (f *Fleet) Agree(members ...int) error {
	names := make([]string, len(members))
	for n, i := range members {
		names[n] = f.Name(i)
	}
	slices.Sort(names)
	for _, i := range members {
		all, err := f.Members(i)
		if err != nil {
			return err
		}
		var told []string
		for _, m := range all {
			told = append(told, m.Name)
			if m.State != "serving" || m.Part != 1/float64(len(members)) {
				return fmt.Errorf("%s tells of %s as %s, with a part of %v among %d", f.Name(i), m.Name, m.State, m.Part, len(members))
			}
		}
		if !slices.Equal(told, names) {
			return fmt.Errorf("%s tells of %v, and not of %v", f.Name(i), told, names)
		}
	}
	return nil
}

// change is a part that a life had from some time on.
type change struct {
	at   time.Time
	life int
	part float64
}

// MostParts is the greatest sum that the parts in use ever had, by the members' own logs, and when.
// What changes within one tick of the logs' clock, a millisecond, is taken together.
func (f *Fleet) MostParts() (most float64, at time.Time, err error) {
	var all []change
	for n, l := range f.lived {
		in := bufio.NewScanner(strings.NewReader(l.proc.Logged()))
		for in.Scan() {
			c, ok, err := parse(in.Text())
			if err != nil {
				return 0, at, err
			}
			if ok {
				c.life = n
				all = append(all, c)
			}
		}
		if !l.ended.IsZero() {
			all = append(all, change{l.ended, n, 0})
		}
	}
	for _, l := range f.lapses {
		n := slices.IndexFunc(f.lived, func(o life) bool { return o.proc == l.proc })
		all = append(all, change{l.ended, n, 0})
	}
	has, sum := make([]float64, len(f.lived)), 0.0
	slices.SortStableFunc(all, func(a, b change) int {
		return a.at.Truncate(time.Millisecond).Compare(b.at.Truncate(time.Millisecond))
	})
	for i, c := range all {
		sum += c.part - has[c.life]
		has[c.life] = c.part
		last := i+1 == len(all) || all[i+1].at.Truncate(time.Millisecond).After(c.at.Truncate(time.Millisecond))
		if last && sum > most {
			most, at = sum, c.at
		}
	}
	return most, at, nil
}

// parse reads a line of a member's log that tells of its part.
func parse(line string) (c change, ok bool, err error) {
	_, told, ok := strings.Cut(line, " msg=members ")
	if !ok {
		return c, false, nil
	}
	at, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	_, part, _ := strings.Cut(told, "part=")
	if c.at, err = time.Parse(time.RFC3339Nano, at); err == nil {
		c.part, err = strconv.ParseFloat(part, 64)
	}
	if err != nil {
		return c, false, fmt.Errorf("a member's log says %q: %w", line, err)
	}
	return c, true, nil
}

// Addr is an address of nobody in the members' block, which the relay does not know.
func (f *Fleet) Addr() netip.Addr {
	b := f.own[0].As4()
	b[2], b[3] = 2, 1
	return netip.AddrFrom4(b)
}

// Logged is what all processes have written.
func (f *Fleet) Logged() string {
	var all strings.Builder
	for _, l := range f.lived {
		fmt.Fprintf(&all, "%s:\n%s\n", f.Name(l.member), l.proc.Logged())
	}
	return all.String()
}
