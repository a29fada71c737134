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
	takeovers             = 10              // takeovers measured for each fault
	maxTakeover           = 3 * time.Second // bound on the time until the group answers again
	maxFaultDelayMS       = 300             // a random delay up to this puts the fault at any time between two heartbeats
	swapSpan              = 5 * time.Second
	swapClients           = 16
	maxSwapLatency        = 10 * time.Second
	settleTimeout         = 20 * time.Second // maximum time for voters to agree
	leaderPoll            = 20 * time.Millisecond
	clientCertificateName = "experiment"
	clusterRandomSeed     = 16
)

// nodeCluster is a consensus group. Each voter is a node in its own process.
type nodeCluster struct {
	voterSet
	dir       string
	auth      *emulator.Authority
	processes map[string]*testbed.Process // processes by name
	client    *consensus.Client
}

// newNodeCluster starts a consensus group of nodes. The caller must close the returned cluster, even after an
// error.
func newNodeCluster(dir string, names ...string) (*nodeCluster, error) {
	cluster := &nodeCluster{dir: dir, processes: make(map[string]*testbed.Process)}
	var err error
	if cluster.auth, err = emulator.NewAuthority(dir); err != nil {
		return cluster, err
	}
	if cluster.voterSet, err = newVoterSet(names...); err != nil {
		return cluster, err
	}
	for _, n := range names {
		if err := cluster.writeFile(n); err != nil {
			return cluster, err
		}
	}
	if err := cluster.bootstrap(func(n string) string { return voterDir(dir, n) }, cluster.start); err != nil {
		return cluster, err
	}
	files, err := issueFiles(cluster.auth, clientCertificateName)
	if err != nil {
		return cluster, err
	}
	cluster.client, err = consensus.NewClient(cluster.list(), files)
	return cluster, err
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

// awaitLeader waits until there is a leader and all voters are at the same revision, and returns the leader's
// name.
func (c *nodeCluster) awaitLeader(ctx context.Context) (string, error) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(leaderPoll) {
		if leader := c.settledLeader(ctx); leader != "" {
			return leader, nil
		}
	}
	return "", errNoLeader
}

// settledLeader returns the name of the leader, or "" if there is none, a voter does not answer, or the voters'
// revisions differ.
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

// measureTakeover stops the leader with SIGSTOP, or kills it, and returns the time until the group answers a
// command again. Afterwards it resumes or restarts the voter.
func (c *nodeCluster) measureTakeover(ctx context.Context, stop bool, random *rand.Rand) (time.Duration, error) {
	leader, err := c.awaitLeader(ctx)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Duration(random.IntN(maxFaultDelayMS)) * time.Millisecond)
	began := time.Now()
	if stop {
		err = c.processes[leader].Signal(syscall.SIGSTOP)
	} else {
		c.processes[leader].Kill()
	}
	if err != nil {
		return 0, fmt.Errorf("stopping the leader: %w", err)
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

// swapResult holds the outcomes of all clients' compare-and-sets.
type swapResult struct {
	mu        sync.Mutex
	done      int
	conflicts int // the entry's revision had changed
	latency   *hdrhistogram.Histogram
	err       error // error of one of the clients that gave up; nil if none did
}

// swapOutcome is the outcome of one compare-and-set.
type swapOutcome uint8

const (
	swapDone     swapOutcome = iota
	swapConflict             // the entry's revision had changed
	swapTimedOut             // swapSpan had passed
)

func (r *swapResult) record(latency time.Duration, outcome swapOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case swapDone:
		r.done++
	case swapConflict:
		r.conflicts++
	}
	_ = r.latency.RecordValue(latency.Microseconds()) // swapSpan is below the histogram's maximum
}

func (r *swapResult) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

// swap runs clients that compare-and-set one entry each or, if shared is true, the same entry, for
// swapSpan.
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

// swapClient compares and sets one entry repeatedly until ctx is done.
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
			outcome = swapConflict
			read, err := c.client.Read(ctx, consensus.ReadRequest{Entries: &key})
			if err == nil && len(read.Entries) == 1 {
				revision = read.Entries[0].Revision
			}
		case ctx.Err() == nil:
			r.fail(err)
			return
		default:
			outcome = swapTimedOut
		}
		r.record(time.Since(began), outcome)
	}
}

// clusterRun measures a consensus group: its cost at idle nodes, its rate of compare-and-sets, and how long it
// does not answer after its leader is killed or stopped.
func clusterRun(ctx context.Context, out io.Writer) (measured measurements, err error) {
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
	if err := c.measureIdleVoters(ctx, out, &measured, plain); err != nil {
		return nil, err
	}
	if err := c.measureSwaps(ctx, out, &measured); err != nil {
		return measured, err
	}
	return measured, c.measureTakeovers(ctx, out, &measured)
}

// measureIdleVoters measures idle voters. plain is the cost of a node without a group, for comparison.
func (c *nodeCluster) measureIdleVoters(ctx context.Context, out io.Writer, measured *measurements, plain idleCost) error {
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
		fmt.Fprintf(out, "idle voter (%s): %d kB, %.1f%% of a core; node without a group: %d kB, %.1f%%\n", role, cost.kb, cost.corePercent(), plain.kb, plain.corePercent())
		measured.add("rest_kb_"+role, "%d", cost.kb)
		measured.add("rest_cpu_"+role, "%.1f", cost.corePercent())
	}
	measured.add("rest_kb_off", "%d", plain.kb)
	measured.add("rest_cpu_off", "%.1f", plain.corePercent())
	return nil
}

// measureSwaps measures the rate and the latency of compare-and-sets, with own entries and with a shared one.
func (c *nodeCluster) measureSwaps(ctx context.Context, out io.Writer, measured *measurements) error {
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
		fmt.Fprintf(out, "compare-and-set, %d clients, %s entries: %.0f/s (%d conflicts), p50 %.1f ms, p99 %.1f ms\n",
			swapClients, entries, rate, r.conflicts, p50, p99)
		measured.add("cas_"+entries, "%.0f", rate)
		measured.add("cas_p99_ms_"+entries, "%.1f", p99)
	}
	return nil
}

// measureTakeovers kills and stops leaders, and checks how long the group does not answer.
func (c *nodeCluster) measureTakeovers(ctx context.Context, out io.Writer, measured *measurements) error {
	random := rand.New(rand.NewPCG(clusterRandomSeed, 2))
	var violations error
	for _, stop := range []bool{false, true} {
		fault := "killed"
		if stop {
			fault = "stopped"
		}
		histogram := hdrhistogram.New(1, settleTimeout.Microseconds(), 3)
		for range takeovers {
			took, err := c.measureTakeover(ctx, stop, random)
			if err != nil {
				return err
			}
			_ = histogram.RecordValue(took.Microseconds()) // settleTimeout is the histogram's maximum
		}
		seconds := func(us int64) float64 { return float64(us) / 1e6 }
		fmt.Fprintf(out, "leader %s, %d times: time without an answer: p50 %.2f s, p99 %.2f s, max %.2f s\n", fault, takeovers,
			seconds(histogram.ValueAtQuantile(50)), seconds(histogram.ValueAtQuantile(99)), seconds(histogram.Max()))
		measured.add("takeover_p50_s_"+fault, "%.2f", seconds(histogram.ValueAtQuantile(50)))
		measured.add("takeover_max_s_"+fault, "%.2f", seconds(histogram.Max()))
		if worst := time.Duration(histogram.Max()) * time.Microsecond; worst > maxTakeover {
			violations = errors.Join(violations, fmt.Errorf("%w: no answer for %v after the leader was %s, want at most %v", errBound, worst, fault, maxTakeover))
		}
	}
	return violations
}
