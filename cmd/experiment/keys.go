package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/admin"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	keyRate   = 200 // requests a second
	keyFor    = 10 * time.Second
	keyAgain  = 0.3 // part of them that repeat a recent one
	keyRecent = 60  // of which these are
	creditFor = 5 * time.Millisecond
	crashes   = 4
	// keyHeld are the keys whose memory is measured.
	keyHeld = 20_000
)

// ledger is a server whose credits are counted by what they are for: it drops no repeats,
// and no two of its answers are alike.
type ledger struct {
	addr string
	srv  *http.Server
	n    atomic.Int64
	mu   sync.Mutex
	ran  map[string]int
}

func newLedger() (*ledger, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a port for the server: %w", err)
	}
	l := &ledger{addr: ln.Addr().String(), ran: make(map[string]int)}
	l.srv = &http.Server{Handler: l}
	go func() { _ = l.srv.Serve(ln) }()
	return l, nil
}

func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	what, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.ran[string(what)]++
	l.mu.Unlock()
	if len(what) > 1 {
		time.Sleep(creditFor)
	}
	fmt.Fprintf(w, "entry %d for %s", l.n.Add(1), what)
}

// twice counts the credits that ran more than once.
func (l *ledger) twice() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ran := range l.ran {
		if ran > 1 {
			n++
		}
	}
	return n
}

// keyed is one node before a ledger, and what its clients saw.
type keyed struct {
	node           *testbed.Process
	dir, file      string
	listen, at     string
	first, again   *hdrhistogram.Histogram
	mu             sync.Mutex
	answers        map[string]string // by key: the first whole answer
	differ, cut    int
	asked, hits    int
	failed, turned int
}

func newKeyed(dir, name, to, rule string, durable bool) (k *keyed, err error) {
	k = &keyed{dir: dir, file: filepath.Join(dir, name+".toml"), first: hdrhistogram.New(1, 60_000_000, 3), again: hdrhistogram.New(1, 60_000_000, 3), answers: make(map[string]string)}
	if k.listen, err = emulator.Unused(); err != nil {
		return nil, err
	}
	if k.at, err = emulator.Unused(); err != nil {
		return nil, err
	}
	keys := ""
	if durable {
		keys = "durable = \"" + name + ".db\"\n"
	}
	text := fmt.Sprintf("[node]\nlisten = [%q]\ncontrol = %q\n[keys]\ntenant_share = 1\n%s[[service]]\nname = \"s\"\n[[service.route]]\npool = \"p\"\n[[pool]]\nname = \"p\"\nservers = [%q]\n", k.listen, k.at, keys, to) +
		"[[pool.class]]\nname = \"credit\"\nrepeat = \"never\"\naim = \"1s\"\ndeadline = \"5s\"\n" + rule
	if err := os.WriteFile(k.file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("a node's file: %w", err)
	}
	return k, k.start()
}

func (k *keyed) start() (err error) {
	k.node, err = start(k.dir, "node", k.file)
	return err
}

// load asks for credits at a steady rate, some of them again.
func (k *keyed) load(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	var recent []string
	var all sync.WaitGroup
	every := time.NewTicker(time.Second / keyRate)
	defer every.Stop()
	for i := range int(keyFor.Seconds() * keyRate) {
		key, again := fmt.Sprintf("credit-%d-%d", seed, i), false
		if again = len(recent) > 0 && rng.Float64() < keyAgain; again {
			key = recent[rng.IntN(len(recent))]
		} else if recent = append(recent, key); len(recent) > keyRecent {
			recent = recent[1:]
		}
		all.Go(func() { k.one(ctx, client, key, again) })
		select {
		case <-ctx.Done():
		case <-every.C:
		}
	}
	all.Wait()
}

func (k *keyed) one(ctx context.Context, client *http.Client, key string, again bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.listen+"/credit/1", strings.NewReader(key))
	if err != nil {
		return
	}
	req.Header.Set("Idempotency-Key", key)
	began := time.Now()
	status, text := 0, ""
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			status, text = resp.StatusCode, strconv.Itoa(resp.StatusCode)+" "+string(body)
		}
		resp.Body.Close()
	}
	took := time.Since(began).Microseconds()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked++
	if again {
		_ = k.again.RecordValue(took) // the client's time is shorter than the most
	} else {
		_ = k.first.RecordValue(took)
	}
	switch {
	case err != nil:
		k.cut++
		return
	case status == http.StatusServiceUnavailable:
		k.turned++
		return
	case status != http.StatusOK:
		k.failed++
	case resp.Header.Get("Idempotent-Replayed") != "":
		k.hits++
	}
	if was, ok := k.answers[key]; ok && was != text {
		k.differ++
	}
	k.answers[key] = text
}

// figure reads one of the node's figures.
func (k *keyed) figure(ctx context.Context, name string) (float64, error) {
	all, err := admin.ReadMetrics(ctx, k.at)
	if err != nil {
		return 0, err
	}
	for _, f := range all {
		if f.Name == name {
			return float64(f.Value), nil
		}
	}
	return 0, fmt.Errorf("no figure %q", name)
}

// memory is what a key counts for, and what the node's own memory grows by with each, in
// bytes.
func (k *keyed) memory(ctx context.Context) (counted, perKey float64, err error) {
	was, _, err := rest(k.node)
	if err != nil {
		return 0, 0, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	for w := range 8 {
		all.Go(func() {
			for i := range keyHeld / 8 {
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.listen+"/credit/1", strings.NewReader("x"))
				if err != nil {
					return
				}
				req.Header.Set("Idempotency-Key", fmt.Sprintf("held-%d-%d", w, i))
				if resp, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body) // its time is not measured
					resp.Body.Close()
				}
			}
		})
	}
	all.Wait()
	is, _, err := rest(k.node)
	if err != nil {
		return 0, 0, err
	}
	held, err := k.figure(ctx, "keys.held")
	if err != nil {
		return 0, 0, err
	}
	bytes, err := k.figure(ctx, "keys.bytes")
	return bytes / held, 1024 * float64(is-was) / held, err
}

// keysRun measures the keys of one node: what firsts and repeats take beside a node that
// keeps none, in memory and on the disk, and what is left of the promise when it is killed.
func keysRun(ctx context.Context, out io.Writer) (f figures, err error) {
	dir, err := os.MkdirTemp("", "jasperpin-experiment")
	if err != nil {
		return nil, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	const rule = "[pool.class.keys]\nneed = true\n"
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "node\tasked\treplayed\tfirst p50 ms\tp99 ms\trepeat p50 ms\tp99 ms\tcut off\trefused\tfailed\ttwice\tdiffer\tcommits a second\t")
	for _, c := range []struct {
		name, rule     string
		durable, crash bool
	}{{"plain", "", false, false}, {"memory", rule, false, false}, {"durable", rule, true, false}, {"killed", rule, true, true}} {
		l, err := newLedger()
		if err != nil {
			return f, err
		}
		k, err := newKeyed(dir, c.name, l.addr, c.rule, c.durable)
		if err != nil {
			_ = l.srv.Close()
			return f, err
		}
		var crashing sync.WaitGroup
		var crashed error
		if c.crash {
			crashing.Go(func() { crashed = k.crash(ctx) })
		}
		k.load(ctx, 16)
		crashing.Wait()
		commits := 0.0
		if c.durable && !c.crash {
			n, err := k.figure(ctx, "keys.commits")
			crashed = errors.Join(crashed, err)
			commits = n / keyFor.Seconds()
		}
		_ = k.node.End()
		twice := l.twice()
		_ = l.srv.Close()
		if crashed != nil {
			return f, crashed
		}
		q := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n", c.name, k.asked, k.hits, q(k.first, 50), q(k.first, 99), q(k.again, 50), q(k.again, 99),
			k.cut, k.turned, k.failed, twice, k.differ, commits)
		f.add(c.name+"_first_p50_ms", "%.1f", q(k.first, 50))
		f.add(c.name+"_first_p99_ms", "%.1f", q(k.first, 99))
		f.add(c.name+"_repeat_p50_ms", "%.1f", q(k.again, 50))
		f.add(c.name+"_twice", "%d", twice)
		f.add(c.name+"_differ", "%d", k.differ)
		if c.rule != "" && twice+k.differ > 0 {
			err = fmt.Errorf("%w: %d credits ran twice, %d answers of one key differ", errBound, twice, k.differ)
			return f, errors.Join(err, w.Flush())
		}
		if c.durable && !c.crash {
			f.add("commits_a_second", "%.0f", commits)
		}
	}
	if err := w.Flush(); err != nil {
		return f, fmt.Errorf("printing the table: %w", err)
	}
	l, err := newLedger()
	if err != nil {
		return f, err
	}
	defer l.srv.Close()
	k, err := newKeyed(dir, "held", l.addr, rule, false)
	if err != nil {
		return f, err
	}
	defer func() { _ = k.node.End() }()
	counted, each, err := k.memory(ctx)
	fmt.Fprintf(out, "%d keys held: counted as %.0f bytes each; %.0f of the process's own memory, with what the collector has not freed\n", keyHeld, counted, each)
	f.add("bytes_a_key_counted", "%.0f", counted)
	f.add("bytes_a_key", "%.0f", each)
	return f, err
}

// crash kills the node at moments of the load and starts it again.
func (k *keyed) crash(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(16, 4))
	for range crashes {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(keyFor/(crashes+1) + time.Duration(rng.IntN(200))*time.Millisecond):
		}
		k.node.Kill()
		_ = k.node.End()
		if err := k.start(); err != nil {
			return err
		}
	}
	return nil
}
