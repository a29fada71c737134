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
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/consensus"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	takeovers         = 10              // of each kind
	maxTakeover       = 3 * time.Second // bound, until the group answers again
	maxTakeoverDelay  = 300             // ms, before a leader is taken away: at any time between two heartbeats
	swapSpan          = 5 * time.Second
	swapClients       = 16
	maxSwapLatency    = 10 * time.Second
	settleTimeout     = 20 * time.Second // until voters agree
	leaderPoll        = 20 * time.Millisecond
	nodesClientName   = "experiment"
	clusterRandomSeed = 16
)

// nodeCluster is voters of a consensus group, each a node in a process of its own.
type nodeCluster struct {
	voterSet
	dir       string
	auth      *emulator.Authority
	processes map[string]*testbed.Process // by name
	client    *consensus.Client
}

// newNodeCluster starts a group of nodes. After an error what it has started is returned, too.
func newNodeCluster(dir string, names ...string) (*nodeCluster, error) {
	c := &nodeCluster{dir: dir, processes: make(map[string]*testbed.Process)}
	var err error
	if c.auth, err = emulator.NewAuthority(dir); err != nil {
		return c, err
	}
	if c.voterSet, err = newVoterSet(names...); err != nil {
		return c, err
	}
	for _, n := range names {
		if err := c.writeFile(n); err != nil {
			return c, err
		}
	}
	if err := c.bootstrap(func(n string) string { return voterDir(dir, n) }, c.start); err != nil {
		return c, err
	}
	files, err := issueFiles(c.auth, nodesClientName)
	if err != nil {
		return c, err
	}
	c.client, err = consensus.NewClient(c.list(), files)
	return c, err
}

func (c *nodeCluster) file(name string) string { return filepath.Join(c.dir, name+".toml") }

func (c *nodeCluster) writeFile(name string) error {
	files, err := issueFiles(c.auth, consensus.VoterName)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(plainNodeFile, name) + fmt.Sprintf("[cluster]\nvoters = [\"%s\"]\nlisten = %q\nfolder = %q\ncertificate = %q\nkey = %q\nauthorities = %q\n",
		strings.Join(c.list(), `", "`), c.addrs[name], filepath.Base(voterDir(c.dir, name)), files.Certificate, files.Key, files.Authorities)
	return writeNodeFile(c.file(name), text)
}

func (c *nodeCluster) start(name string) (err error) {
	c.processes[name], err = startChild(c.dir, nodeChild, c.file(name))
	return err
}

func (c *nodeCluster) close() {
	for _, p := range c.processes {
		if p != nil {
			p.Kill()
		}
	}
	if c.client != nil {
		c.client.Close()
	}
}

// awaitLeader waits until one voter leads and all are at the same revision, and returns its name.
func (c *nodeCluster) awaitLeader(ctx context.Context) (string, error) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(leaderPoll) {
		if leader := c.settledLeader(ctx); leader != "" {
			return leader, nil
		}
	}
	return "", errNoLeader
}

// settledLeader is the voter that leads, or "" unless all voters answer and are at the same revision.
func (c *nodeCluster) settledLeader(ctx context.Context) (leader string) {
	var revision uint64
	for i, n := range c.names {
		s, err := c.client.Status(ctx, c.addrs[n])
		if err != nil {
			return ""
		}
		if s.IsLeader {
			leader = n
		}
		if i == 0 {
			revision = s.Revision
		}
		if s.Revision != revision {
			return ""
		}
	}
	return leader
}

// measureTakeover takes the leader away, with SIGSTOP or SIGKILL, and returns how long no command was
// answered. The voter runs again afterwards.
func (c *nodeCluster) measureTakeover(ctx context.Context, stop bool, random *rand.Rand) (time.Duration, error) {
	leader, err := c.awaitLeader(ctx)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Duration(random.IntN(maxTakeoverDelay)) * time.Millisecond)
	began := time.Now()
	if stop {
		err = c.processes[leader].Signal(syscall.SIGSTOP)
	} else {
		c.processes[leader].Kill()
	}
	if err != nil {
		return 0, fmt.Errorf("taking the leader away: %w", err)
	}
	commandCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err = c.client.Do(commandCtx, fsm.Command{Op: fsm.Tick})
	took := time.Since(began)
	if err != nil {
		return 0, err
	}
	if stop {
		return took, c.processes[leader].Signal(syscall.SIGCONT)
	}
	return took, c.start(leader)
}

// swapResult is what clients saw of compare-and-sets.
type swapResult struct {
	mu      sync.Mutex
	done    int
	tooLate int // the entry had changed meanwhile
	latency *hdrhistogram.Histogram
	err     error // one of those of clients that gave up
}

// swapOutcome is how one compare-and-set ended.
type swapOutcome uint8

const (
	swapDone    swapOutcome = iota
	swapTooLate             // the entry had changed
	swapCutOff              // the time was over
)

func (r *swapResult) record(latency time.Duration, outcome swapOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case swapDone:
		r.done++
	case swapTooLate:
		r.tooLate++
	}
	_ = r.latency.RecordValue(latency.Microseconds()) // swapSpan is below the histogram's end
}

func (r *swapResult) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

// swap has clients compare-and-set entries of their own, or one entry that they share.
func (c *nodeCluster) swap(ctx context.Context, shared bool) (*swapResult, error) {
	ctx, cancel := context.WithTimeout(ctx, swapSpan)
	defer cancel()
	r := &swapResult{latency: hdrhistogram.New(1, maxSwapLatency.Microseconds(), 3)}
	var clients sync.WaitGroup
	for i := range swapClients {
		key := "all"
		if !shared {
			key = fmt.Sprint("own", i)
		}
		clients.Go(func() { c.swapClient(ctx, key, r) })
	}
	clients.Wait()
	return r, r.err
}

// swapClient compares and sets one entry again and again until the context ends.
func (c *nodeCluster) swapClient(ctx context.Context, key string, r *swapResult) {
	var revision uint64
	for ctx.Err() == nil {
		began := time.Now()
		result, err := c.client.Do(ctx, fsm.Command{Op: fsm.Put, Name: key, IfRevision: revision, Value: []byte("value")})
		outcome := swapDone
		switch {
		case err == nil:
			revision = result.Revision
		case errors.Is(err, fsm.ErrRevisionMismatch):
			outcome = swapTooLate
			read, err := c.client.Read(ctx, consensus.ReadRequest{Entries: &key})
			if err == nil && len(read.Entries) == 1 {
				revision = read.Entries[0].Revision
			}
		case ctx.Err() == nil:
			r.fail(err)
			return
		default:
			outcome = swapCutOff
		}
		r.record(time.Since(began), outcome)
	}
}

// clusterRun measures a consensus group: what it costs idle nodes, how many compare-and-sets it does, and how
// long none is answered when its leader is killed or stopped.
func clusterRun(ctx context.Context, out io.Writer) (m measurements, err error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	plain, err := measurePlainNode(dir)
	if err != nil {
		return nil, err
	}
	c, err := newNodeCluster(dir, "a", "b", "c")
	defer c.close()
	if err != nil {
		return nil, err
	}
	if err := c.measureIdleVoters(ctx, out, &m, plain); err != nil {
		return nil, err
	}
	if err := c.measureSwaps(ctx, out, &m); err != nil {
		return m, err
	}
	return m, c.measureTakeovers(ctx, out, &m)
}

// measureIdleVoters measures idle voters beside a node without a group.
func (c *nodeCluster) measureIdleVoters(ctx context.Context, out io.Writer, m *measurements, plain idleCost) error {
	leader, err := c.awaitLeader(ctx)
	if err != nil {
		return err
	}
	for _, n := range c.names {
		cost, err := measureIdle(c.processes[n])
		if err != nil {
			return err
		}
		role := "follows"
		if n == leader {
			role = "leads"
		}
		fmt.Fprintf(out, "at rest, %s: %d kB, %.1f%% of a core; without a group %d kB, %.1f%%\n", role, cost.kb, cost.corePercent(), plain.kb, plain.corePercent())
		m.add("rest_kb_"+role, "%d", cost.kb)
		m.add("rest_cpu_"+role, "%.1f", cost.corePercent())
	}
	m.add("rest_kb_off", "%d", plain.kb)
	m.add("rest_cpu_off", "%.1f", plain.corePercent())
	return nil
}

// measureSwaps measures compare-and-sets.
func (c *nodeCluster) measureSwaps(ctx context.Context, out io.Writer, m *measurements) error {
	for _, shared := range []bool{false, true} {
		r, err := c.swap(ctx, shared)
		if err != nil {
			return err
		}
		entries := "own"
		if shared {
			entries = "shared"
		}
		rate := float64(r.done) / swapSpan.Seconds()
		p50, p99 := float64(r.latency.ValueAtQuantile(50))/1000, float64(r.latency.ValueAtQuantile(99))/1000
		fmt.Fprintf(out, "compare-and-set, %d clients, %s entries: %.0f a second (%d came too late), p50 %.1f ms, p99 %.1f ms\n",
			swapClients, entries, rate, r.tooLate, p50, p99)
		m.add("cas_"+entries, "%.0f", rate)
		m.add("cas_p99_ms_"+entries, "%.1f", p99)
	}
	return nil
}

// measureTakeovers kills and stops leaders, and checks how long the group did not answer.
func (c *nodeCluster) measureTakeovers(ctx context.Context, out io.Writer, m *measurements) error {
	random := rand.New(rand.NewPCG(clusterRandomSeed, 2))
	var broken error
	for _, stop := range []bool{false, true} {
		how := "killed"
		if stop {
			how = "stopped"
		}
		h := hdrhistogram.New(1, settleTimeout.Microseconds(), 3)
		for range takeovers {
			took, err := c.measureTakeover(ctx, stop, random)
			if err != nil {
				return err
			}
			_ = h.RecordValue(took.Microseconds()) // settleTimeout is the histogram's end
		}
		seconds := func(us int64) float64 { return float64(us) / 1e6 }
		fmt.Fprintf(out, "leader %s, %d times: no answer for p50 %.2f s, p99 %.2f s, at the most %.2f s\n", how, takeovers,
			seconds(h.ValueAtQuantile(50)), seconds(h.ValueAtQuantile(99)), seconds(h.Max()))
		m.add("takeover_p50_s_"+how, "%.2f", seconds(h.ValueAtQuantile(50)))
		m.add("takeover_max_s_"+how, "%.2f", seconds(h.Max()))
		if worst := time.Duration(h.Max()) * time.Microsecond; worst > maxTakeover {
			broken = errors.Join(broken, fmt.Errorf("%w: no answer for %v after the leader was %s, want %v", errBound, worst, how, maxTakeover))
		}
	}
	return broken
}
