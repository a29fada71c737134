package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasperpin/internal/admin"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	keyRate       = 200 // requests a second
	keySpan       = 10 * time.Second
	repeatShare   = 0.3 // share of requests that repeat a recent key
	recentKeys    = 60
	keySeed       = 16
	keyNodeKills  = 4
	maxKeyLatency = time.Minute // maximum of the histograms, above keyTimeout
	keyTimeout    = 6 * time.Second
	// storedKeys is the number of keys whose memory is measured. storeClients clients store them.
	storedKeys   = 20_000
	storeClients = 8
)

// keysRule is the part of a class's configuration that requires idempotency keys.
const keysRule = "[pool.class.keys]\nneed = true\n"

// keyCase is a node with or without keys.
type keyCase struct {
	name    string
	rule    string // part of the class's configuration; "" for no keys
	durable bool   // keys are also on disk
	killed  bool   // the node is killed and restarted during the load
}

var keyCases = []keyCase{
	{name: "plain"},
	{name: "memory", rule: keysRule},
	{name: "durable", rule: keysRule, durable: true},
	{name: "killed", rule: keysRule, durable: true, killed: true},
}

// keyCounts counts the requests to one node, and their answers.
type keyCounts struct {
	requests, replayed           int
	unanswered, rejected, failed int
	// differing counts answers that differ from an earlier one of the same key.
	differing int
}

// keyNode is a node in front of one server, and the measurements of its clients.
type keyNode struct {
	process         *testbed.Process
	dir, file       string
	addr, adminAddr string

	mu      sync.Mutex
	first   *hdrhistogram.Histogram // latency in us of first requests of a key
	repeat  *hdrhistogram.Histogram // latency in us of requests that repeat a key
	answers map[string]string       // the latest complete answer by key
	counts  keyCounts
}

func newKeyNode(dir, server string, c keyCase) (*keyNode, error) {
	node := &keyNode{dir: dir, file: filepath.Join(dir, c.name+".toml"), first: newKeyHistogram(), repeat: newKeyHistogram(), answers: make(map[string]string)}
	var err error
	if node.addr, err = emulator.UnusedAddr(); err != nil {
		return nil, err
	}
	if node.adminAddr, err = emulator.UnusedAddr(); err != nil {
		return nil, err
	}
	durable := ""
	if c.durable {
		durable = "durable = \"" + c.name + ".db\"\n"
	}
	text := fmt.Sprintf("[node]\nlisten = [%q]\ncontrol = %q\n[keys]\ntenant_share = 1\n%s[[service]]\nname = \"s\"\n[[service.route]]\npool = \"p\"\n[[pool]]\nname = \"p\"\nservers = [%q]\n", node.addr, node.adminAddr, durable, server) +
		"[[pool.class]]\nname = \"credit\"\nrepeat = \"never\"\naim = \"1s\"\ndeadline = \"5s\"\n" + c.rule
	if err := writeNodeFile(node.file, text); err != nil {
		return nil, err
	}
	return node, node.start()
}

func newKeyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxKeyLatency.Microseconds(), 3)
}

func (k *keyNode) start() (err error) {
	k.process, err = startChild(k.dir, nodeChild, k.file)
	return err
}

// load sends requests at a steady rate and waits for all answers. Some requests repeat a recent key.
func (k *keyNode) load(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: keyTimeout}
	defer client.CloseIdleConnections()
	var recent []string
	var all sync.WaitGroup
	interval := time.NewTicker(time.Second / keyRate)
	defer interval.Stop()
	for i := range int(keySpan.Seconds() * keyRate) {
		key, repeats := fmt.Sprintf("credit-%d-%d", seed, i), false
		if repeats = len(recent) > 0 && random.Float64() < repeatShare; repeats {
			key = recent[random.IntN(len(recent))]
		} else if recent = append(recent, key); len(recent) > recentKeys {
			recent = recent[1:]
		}
		all.Go(func() { k.sendAndRecord(ctx, client, key, repeats) })
		select {
		case <-ctx.Done():
		case <-interval.C:
		}
	}
	all.Wait()
}

// keyAnswer is a complete answer.
type keyAnswer struct {
	status   int
	text     string // status and body of the answer
	replayed bool   // the node marked it as the answer of an earlier request
}

// send sends a request with an idempotency key.
func (k *keyNode) send(ctx context.Context, client *http.Client, key, body string) (keyAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.addr+"/credit/1", strings.NewReader(body))
	if err != nil {
		return keyAnswer{}, err
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return keyAnswer{}, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return keyAnswer{resp.StatusCode, strconv.Itoa(resp.StatusCode) + " " + string(answer), resp.Header.Get("Idempotent-Replayed") != ""}, err
}

// sendAndRecord sends a request and records its latency and its answer.
func (k *keyNode) sendAndRecord(ctx context.Context, client *http.Client, key string, repeats bool) {
	began := time.Now()
	answer, err := k.send(ctx, client, key, key)
	latency := time.Since(began).Microseconds()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.requests++
	if repeats {
		_ = k.repeat.RecordValue(latency) // the client's timeout is below the histogram's maximum
	} else {
		_ = k.first.RecordValue(latency)
	}
	switch {
	case err != nil:
		k.counts.unanswered++
		return
	case answer.status == http.StatusServiceUnavailable:
		k.counts.rejected++
		return
	case answer.status != http.StatusOK:
		k.counts.failed++
	case answer.replayed:
		k.counts.replayed++
	}
	if earlier, ok := k.answers[key]; ok && earlier != answer.text {
		k.counts.differing++
	}
	k.answers[key] = answer.text
}

// metric reads one of the node's metrics.
func (k *keyNode) metric(ctx context.Context, name string) (float64, error) {
	all, err := admin.ReadMetrics(ctx, k.adminAddr)
	if err != nil {
		return 0, err
	}
	for _, m := range all {
		if m.Name == name {
			return float64(m.Value), nil
		}
	}
	return 0, fmt.Errorf("the node has no metric %q", name)
}

// killRepeatedly kills the node at random times during the load, and restarts it each time.
func (k *keyNode) killRepeatedly(ctx context.Context) error {
	random := rand.New(rand.NewPCG(keySeed, 4))
	for range keyNodeKills {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(keySpan/(keyNodeKills+1) + time.Duration(random.IntN(200))*time.Millisecond):
		}
		k.process.Kill()
		if err := k.start(); err != nil {
			return err
		}
	}
	return nil
}

// keysRun measures the idempotency keys of one node: latencies of first requests and repeats, with keys in memory
// and on disk, compared with a node without keys. It checks that each credit is executed at most once and that all
// answers of a key are the same, also when the node is killed.
func keysRun(ctx context.Context, out io.Writer) (measured measurements, err error) {
	dir, err := tempDir()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "node\trequests\treplayed\tfirst p50 ms\tp99 ms\trepeat p50 ms\tp99 ms\tunanswered\trejected\tfailed\texecuted twice\tdiffering\tcommits/s\t")
	for _, c := range keyCases {
		r, err := runKeyCase(ctx, dir, c)
		if err != nil {
			return measured, err
		}
		r.print(w, &measured, c)
		if violations := r.twice + r.counts.differing; c.rule != "" && violations > 0 {
			err = fmt.Errorf("%w: %d credits were executed more than once, %d answers differ from an earlier answer of the same key", errBound, r.twice, r.counts.differing)
			return measured, errors.Join(err, w.Flush())
		}
		if c.durable && !c.killed {
			measured.add("commits_a_second", "%.0f", r.commitRate)
		}
	}
	if err := flushTable(w); err != nil {
		return measured, err
	}
	return measured, measureStoredKeys(ctx, out, &measured, dir)
}

// keyResult is the result of one case.
type keyResult struct {
	*keyNode
	twice      int     // credits that the server executed more than once
	commitRate float64 // commits per second; 0 unless keys are on disk and the node is not killed
}

// runKeyCase runs one case.
func runKeyCase(ctx context.Context, dir string, variant keyCase) (*keyResult, error) {
	server, err := newCreditServer()
	if err != nil {
		return nil, err
	}
	defer server.close()
	node, err := newKeyNode(dir, server.addr, variant)
	if err != nil {
		return nil, err
	}
	r := &keyResult{keyNode: node}
	var killing sync.WaitGroup
	if variant.killed {
		killing.Go(func() { err = node.killRepeatedly(ctx) })
	}
	node.load(ctx, keySeed)
	killing.Wait()
	if variant.durable && !variant.killed {
		var commits float64
		commits, err = node.metric(ctx, "keys.commits")
		r.commitRate = commits / keySpan.Seconds()
	}
	_ = node.process.Terminate()
	r.twice = server.executedTwice()
	return r, err
}

// print prints the case's row and adds its measurements.
func (r *keyResult) print(w io.Writer, measured *measurements, c keyCase) {
	ms := func(h *hdrhistogram.Histogram, quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	n := r.counts
	fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n", c.name, n.requests, n.replayed,
		ms(r.first, 50), ms(r.first, 99), ms(r.repeat, 50), ms(r.repeat, 99), n.unanswered, n.rejected, n.failed, r.twice, n.differing, r.commitRate)
	measured.add(c.name+"_first_p50_ms", "%.1f", ms(r.first, 50))
	measured.add(c.name+"_first_p99_ms", "%.1f", ms(r.first, 99))
	measured.add(c.name+"_repeat_p50_ms", "%.1f", ms(r.repeat, 50))
	measured.add(c.name+"_twice", "%d", r.twice)
	measured.add(c.name+"_differ", "%d", n.differing)
}

// measureStoredKeys measures the memory that a node uses for stored keys.
func measureStoredKeys(ctx context.Context, out io.Writer, measured *measurements, dir string) error {
	server, err := newCreditServer()
	if err != nil {
		return err
	}
	defer server.close()
	k, err := newKeyNode(dir, server.addr, keyCase{name: "held", rule: keysRule})
	if err != nil {
		return err
	}
	defer func() { _ = k.process.Terminate() }()
	counted, resident, err := k.bytesPerKey(ctx)
	fmt.Fprintf(out, "%d keys stored: %.0f bytes each, as the node counts; %.0f bytes each of resident memory, including garbage that is not yet collected\n", storedKeys, counted, resident)
	measured.add("bytes_a_key_counted", "%.0f", counted)
	measured.add("bytes_a_key", "%.0f", resident)
	return err
}

// bytesPerKey returns the bytes that the node counts per key, and the growth of its resident memory per key.
func (k *keyNode) bytesPerKey(ctx context.Context) (counted, resident float64, err error) {
	before, err := measureIdle(k.process)
	if err != nil {
		return 0, 0, err
	}
	k.storeKeys(ctx)
	after, err := measureIdle(k.process)
	if err != nil {
		return 0, 0, err
	}
	stored, err := k.metric(ctx, "keys.held")
	if err != nil {
		return 0, 0, err
	}
	bytes, err := k.metric(ctx, "keys.bytes")
	return bytes / stored, 1024 * float64(after.kb-before.kb) / stored, err
}

// storeKeys sends a request for each of storedKeys keys. A request that fails stores no key; the node's metrics
// count the keys that are stored.
func (k *keyNode) storeKeys(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	var clients sync.WaitGroup
	for c := range storeClients {
		clients.Go(func() {
			for i := range storedKeys / storeClients {
				_, _ = k.send(ctx, client, fmt.Sprintf("held-%d-%d", c, i), "x")
			}
		})
	}
	clients.Wait()
}
