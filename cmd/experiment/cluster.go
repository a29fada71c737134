package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/consensus"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/mtls"
)

const (
	takeovers    = 10              // of each kind: killed, and stopped
	takeoverAim  = 3 * time.Second // until the group answers again
	casFor       = 5 * time.Second
	casClients   = 16
	groupRest    = 2 * time.Second // for memory and processor time
	settleWithin = 20 * time.Second
)

// groupOf are voters, each a node of its own in a process of its own.
type groupOf struct {
	dir    string
	auth   *emulator.Authority
	names  []string
	addrs  map[string]string
	procs  map[string]*testbed.Process
	client *consensus.Client
}

// plainNode is a node's file without a group.
const plainNode = `[node]
name = %q
listen = ["127.0.0.1:0"]
` + testbed.Service

func newGroupOf(dir string, names ...string) (*groupOf, error) {
	auth, err := emulator.NewAuthority(dir)
	if err != nil {
		return nil, err
	}
	g := &groupOf{dir: dir, auth: auth, names: names, addrs: make(map[string]string), procs: make(map[string]*testbed.Process)}
	var addrs []string
	for _, n := range names {
		if g.addrs[n], err = emulator.Unused(); err != nil {
			return nil, err
		}
		addrs = append(addrs, g.addrs[n])
	}
	for _, n := range names {
		if err := g.file(n, addrs); err != nil {
			return nil, err
		}
		if err := consensus.Begin(filepath.Join(dir, "group-"+n), n, g.addrs); err != nil {
			return nil, err
		}
		if err := g.run(n); err != nil {
			return nil, err
		}
	}
	cert, key, err := auth.Issue("experiment")
	if err != nil {
		return nil, err
	}
	g.client, err = consensus.NewClient(addrs, mtls.Files{Certificate: cert, Key: key, Authorities: auth.File})
	return g, err
}

func (g *groupOf) file(name string, addrs []string) error {
	cert, key, err := g.auth.Issue(consensus.VoterName)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(plainNode, name) + fmt.Sprintf("[cluster]\nvoters = [\"%s\"]\nlisten = %q\nfolder = %q\ncertificate = %q\nkey = %q\nauthorities = %q\n",
		strings.Join(addrs, `", "`), g.addrs[name], "group-"+name, cert, key, g.auth.File)
	return os.WriteFile(filepath.Join(g.dir, name+".toml"), []byte(text), 0o600)
}

func (g *groupOf) run(name string) (err error) {
	g.procs[name], err = start(g.dir, "node", filepath.Join(g.dir, name+".toml"))
	return err
}

func (g *groupOf) close() {
	for _, p := range g.procs {
		p.Kill()
		_ = p.End()
	}
	if g.client != nil {
		g.client.Close()
	}
}

// leader waits until one leads and all voters know what it knows.
func (g *groupOf) leader(ctx context.Context) (string, error) {
	for end := time.Now().Add(settleWithin); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		leads, level, rev := "", 0, uint64(0)
		for i, n := range g.names {
			s, err := g.client.Status(ctx, g.addrs[n])
			if err != nil {
				break
			}
			if s.Leads {
				leads = n
			}
			if i == 0 {
				rev = s.Rev
			}
			if s.Rev == rev {
				level++
			}
		}
		if leads != "" && level == len(g.names) {
			return leads, nil
		}
	}
	return "", errors.New("no voter leads the others")
}

// takeover takes the leader away and says how long no command was answered.
func (g *groupOf) takeover(ctx context.Context, stop bool, rng *rand.Rand) (time.Duration, error) {
	lead, err := g.leader(ctx)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond) // at any moment between two heartbeats
	began := time.Now()
	if stop {
		err = g.procs[lead].Signal(syscall.SIGSTOP)
	} else {
		g.procs[lead].Kill()
	}
	if err != nil {
		return 0, fmt.Errorf("taking the leader away: %w", err)
	}
	asking, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	_, err = g.client.Do(asking, fsm.Command{Op: fsm.Tick})
	took := time.Since(began)
	if err != nil {
		return 0, err
	}
	if stop {
		return took, g.procs[lead].Signal(syscall.SIGCONT)
	}
	_ = g.procs[lead].End()
	return took, g.run(lead)
}

// swaps has clients write entries of their own or one that all share, and counts.
func (g *groupOf) swaps(ctx context.Context, shared bool) (done, changed int64, took *hdrhistogram.Histogram, err error) {
	ctx, cancel := context.WithTimeout(ctx, casFor)
	defer cancel()
	var all sync.WaitGroup
	var wrote, lost atomic.Int64
	var mu sync.Mutex
	took = hdrhistogram.New(1, (10 * time.Second).Microseconds(), 3)
	for i := range casClients {
		key := "all"
		if !shared {
			key = fmt.Sprint("own", i)
		}
		all.Go(func() {
			var rev uint64
			for ctx.Err() == nil {
				began := time.Now()
				r, e := g.client.Do(ctx, fsm.Command{Op: fsm.Put, Name: key, If: rev, Value: []byte("value")})
				switch {
				case e == nil:
					rev = r.Rev
					wrote.Add(1)
				case errors.Is(e, fsm.ErrChanged):
					lost.Add(1)
					v, re := g.client.Read(ctx, consensus.Ask{Entries: &key})
					if re == nil && len(v.Entries) == 1 {
						rev = v.Entries[0].Rev
					}
				case ctx.Err() == nil:
					mu.Lock()
					err = e
					mu.Unlock()
					return
				}
				mu.Lock()
				_ = took.RecordValue(time.Since(began).Microseconds()) // beyond its end is not possible
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return wrote.Load(), lost.Load(), took, err
}

// plainRest is what a node without a group or a fleet has and uses at rest.
func plainRest(dir string) (kb int, cpu time.Duration, err error) {
	file := filepath.Join(dir, "plain.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, plainNode, "plain"), 0o600); err != nil {
		return 0, 0, fmt.Errorf("a node's file: %w", err)
	}
	p, err := start(dir, "node", file)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = p.End() }()
	return rest(p)
}

// rest is what a process at rest has and uses.
func rest(p *testbed.Process) (kb int, cpu time.Duration, err error) {
	time.Sleep(groupRest) // it has started just now
	was, err := p.CPU()
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(groupRest)
	is, err := p.CPU()
	if err != nil {
		return 0, 0, err
	}
	bytes, err := p.Memory()
	return bytes >> 10, is - was, err
}

// clusterRun measures the group: what it costs a node at rest, how many compare-and-sets it
// does, and how long none is answered where its leader dies or stops.
func clusterRun(ctx context.Context, out io.Writer) (f figures, err error) {
	dir, err := os.MkdirTemp("", "jasperpin-experiment")
	if err != nil {
		return nil, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	offKB, offCPU, err := plainRest(dir)
	if err != nil {
		return nil, err
	}
	g, err := newGroupOf(dir, "a", "b", "c")
	if g != nil {
		defer g.close()
	}
	if err != nil {
		return nil, err
	}
	lead, err := g.leader(ctx)
	if err != nil {
		return nil, err
	}
	for _, n := range g.names {
		kb, cpu, err := rest(g.procs[n])
		if err != nil {
			return nil, err
		}
		what := "follows"
		if n == lead {
			what = "leads"
		}
		fmt.Fprintf(out, "at rest, %s: %d kB, %.1f%% of a core; without a group %d kB, %.1f%%\n", what, kb, percent(cpu), offKB, percent(offCPU))
		f.add("rest_kb_"+what, "%d", kb)
		f.add("rest_cpu_"+what, "%.1f", percent(cpu))
	}
	f.add("rest_kb_off", "%d", offKB)
	f.add("rest_cpu_off", "%.1f", percent(offCPU))
	for _, shared := range []bool{false, true} {
		done, lost, took, err := g.swaps(ctx, shared)
		if err != nil {
			return f, err
		}
		what := "own"
		if shared {
			what = "shared"
		}
		rate := float64(done) / casFor.Seconds()
		fmt.Fprintf(out, "compare-and-set, %d clients, %s entries: %.0f a second (%d came too late), p50 %.1f ms, p99 %.1f ms\n",
			casClients, what, rate, lost, float64(took.ValueAtQuantile(50))/1000, float64(took.ValueAtQuantile(99))/1000)
		f.add("cas_"+what, "%.0f", rate)
		f.add("cas_p99_ms_"+what, "%.1f", float64(took.ValueAtQuantile(99))/1000)
	}
	rng := rand.New(rand.NewPCG(16, 2))
	for _, stop := range []bool{false, true} {
		what := "killed"
		if stop {
			what = "stopped"
		}
		h := hdrhistogram.New(1, settleWithin.Microseconds(), 3)
		for range takeovers {
			took, err := g.takeover(ctx, stop, rng)
			if err != nil {
				return f, err
			}
			_ = h.RecordValue(took.Microseconds()) // no longer than its end
		}
		fmt.Fprintf(out, "leader %s, %d times: no answer for p50 %.2f s, p99 %.2f s, at the most %.2f s\n", what, takeovers,
			float64(h.ValueAtQuantile(50))/1e6, float64(h.ValueAtQuantile(99))/1e6, float64(h.Max())/1e6)
		f.add("takeover_p50_s_"+what, "%.2f", float64(h.ValueAtQuantile(50))/1e6)
		f.add("takeover_max_s_"+what, "%.2f", float64(h.Max())/1e6)
		if worst := time.Duration(h.Max()) * time.Microsecond; worst > takeoverAim {
			err = errors.Join(err, fmt.Errorf("%w: no answer for %v after the leader was %s, want %v", errBound, worst, what, takeoverAim))
		}
	}
	return f, err
}

func percent(cpu time.Duration) float64 { return 100 * cpu.Seconds() / groupRest.Seconds() }
