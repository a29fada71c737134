// Package endpoints plays one real node before a list of servers of any size: a few stand-ins answer
// behind all the names. It measures what the number of servers costs the node and its clients.
package endpoints

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

// News is how discovery tells of servers while a trial is on.
type News string

// Nothing is told; each second a twentieth of the servers drain, go or come anew, told as changes; one
// whole list is told each second; or both in turn.
const (
	Calm    News = "calm"
	Changes News = "changes"
	Wholes  News = "whole lists"
	Mixed   News = "both"
)

// Trial is one play.
type Trial struct {
	Servers  int
	News     News
	For      time.Duration
	Rate     int           // requests a second
	Deadline time.Duration // of each
	// Share is the part of a core that the node has: it is stopped for the rest of each 20 ms. 1 stops
	// nothing.
	Share float64
	// Restarts has the node end and begin anew so often, evenly over the trial. What a process that has
	// been told to end has taken counts as any other.
	Restarts int
}

// Result is what a trial has come to.
type Result struct {
	Asked, InTime, Late, Refused, Failed int
	Unanswered                           int           // of those asked: no answer half a second after their time
	P99                                  time.Duration // of the answers in time or late
	CPU                                  time.Duration
	Peak                                 int // bytes resident, of the largest process
	Descriptors                          int // the most that were seen open
	Connections                          int64
	ListBytes                            int64
}

const (
	standIns    = 8
	meanWork    = 30 * time.Millisecond // of a request at a server
	mostWork    = 10 * meanWork
	duty        = 20 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	descriptors = 256
	zoneCount   = 3
	lookEvery   = 100 * time.Millisecond
	readyWithin = 10 * time.Second
	upEvery     = 10 * time.Millisecond
	// endsAfter the longest deadline from SIGTERM on the platform may kill a process.
	endsAfter = 700 * time.Millisecond
	newsEvery = time.Second
	newsPart  = 20 // one of so many servers
)

// rig is a trial that is being played.
type rig struct {
	Trial
	program   testbed.Program
	dir, addr string
	discovery *emulator.Discovery
	servers   []*emulator.Raw
	release   release

	mu     sync.Mutex       // of what follows
	latest []emulator.Entry // the list as it was last
	node   *testbed.Process
	result Result
	took   []time.Duration
}

// Run plays a trial with a program that is a node by the platform's environment.
func Run(ctx context.Context, t Trial, program testbed.Program, dir string) (Result, error) {
	r := &rig{Trial: t, program: program, dir: dir}
	defer r.close()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	ctx, stop := context.WithTimeout(ctx, t.For)
	defer stop()
	var beside sync.WaitGroup
	beside.Go(func() { r.tellNews(ctx) })
	beside.Go(func() { r.look(ctx) })
	var failed error
	beside.Go(func() { failed = r.restart(ctx) })
	if t.Share < 1 {
		beside.Go(func() { r.throttle(ctx) })
	}
	r.load(ctx)
	beside.Wait()
	r.measure()
	for _, s := range r.servers {
		r.result.Connections += s.Conns.Load()
	}
	r.result.ListBytes = r.discovery.Bytes.Load()
	slices.Sort(r.took)
	if n := len(r.took); n > 0 {
		r.result.P99 = r.took[n*99/100]
	}
	return r.result, failed
}

func (r *rig) start() error {
	for range standIns {
		s, err := emulator.NewRaw(serve)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	r.release = release{servers: r.servers}
	var err error
	r.latest = r.release.first(r.Servers)
	if r.discovery, err = emulator.NewDiscovery(r.latest...); err != nil {
		return err
	}
	if r.addr, err = emulator.Unused(); err != nil {
		return err
	}
	return r.begin()
}

// serve answers after a time that the request's id draws, exponential round meanWork.
func serve(c net.Conn, q *http.Request, body []byte) bool {
	h := fnv.New64a()
	_, _ = io.WriteString(h, q.Header.Get("Req-Id"))
	part := rand.New(rand.NewPCG(h.Sum64(), 0)).ExpFloat64()
	work := time.NewTimer(min(time.Duration(part*float64(meanWork)), mostWork))
	<-work.C
	return emulator.Echo(c, q, body)
}

// begin starts a process of the node.
func (r *rig) begin() error {
	text, err := json.Marshal(r.settings())
	if err != nil {
		return fmt.Errorf("the node's file: %w", err)
	}
	file := filepath.Join(r.dir, "node.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("the node's file: %w", err)
	}
	program := r.program
	program.Env = append(program.Env, "GW_CONFIG="+file)
	p, err := program.Start(r.dir, "node")
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.node = p
	r.mu.Unlock()
	return r.untilUp(p)
}

// untilUp waits until the node says that it is up.
func (r *rig) untilUp(p *testbed.Process) error {
	deadline := time.After(readyWithin)
	for {
		resp, err := http.Get("http://" + r.addr + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.Ended():
			return fmt.Errorf("the node ended: %w: %s", p.Failure(), p.Logged())
		case <-deadline:
			return fmt.Errorf("the node was not up within %v: %s", readyWithin, p.Logged())
		case <-time.After(upEvery):
		}
	}
}

func (r *rig) close() {
	if r.node != nil {
		_ = r.node.Signal(syscall.SIGCONT)
		r.node.Kill()
	}
	if r.discovery != nil {
		_ = r.discovery.Close()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
}

// settings are the node's configuration as the platform writes it.
func (r *rig) settings() map[string]any {
	ms := float64(r.Deadline.Milliseconds())
	return map[string]any{
		"name": "n", "listen": r.addr, "discovery": r.discovery.Addr, "seed": "1",
		"limits": map[string]any{"cores": r.Share, "memory_mb": 48, "sockets": descriptors},
		"known":  map[string]any{"seq": r.discovery.Version(), "whole": true, "hosts": r.known()},
		"settings": map[string]any{
			"myNumber": 0, "nInstances": 300, "az": 0, "zones": []string{"a", "b", "c"}, "discovery": "ask",
			"ceilings": map[string]any{"maxAttempts": 3, "secondCopies": true, "cancel": true, "dialTimeoutMs": 250, "keepaliveMs": 15000, "retryAfter": true, "maxRetryAfterMs": 2000},
			"rules": map[string]any{
				"askWithinMs": 2000, "stopSendingWithinMs": 1000, "warmWithinMs": 5000,
				"startCapacity": 0.3, "fallMultiple": 2.5, "overloadForMs": 1000,
			},
			"costs":      map[string]any{"crossZone": 0.12, "handshake": 0.02, "connection": 0.01},
			"familyInfo": map[string]any{"warmKeys": true},
			"valueBy":    "request",
			"classes":    []map[string]any{{"name": "look", "effect": "free", "objectiveMs": ms * 3 / 4, "deadlineMs": ms, "gain": 1}},
		},
	}
}

// known is the list that a new process is given: the one of the last news.
func (r *rig) known() []emulator.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// step moves the release on, and gives what has changed and the whole list.
func (r *rig) step() (changed, list []emulator.Entry) {
	changed = r.release.step(max(1, r.Servers/newsPart))
	list = r.release.list()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest = list
	return changed, list
}

// tellNews has discovery tell of the servers as the trial says.
func (r *rig) tellNews(ctx context.Context) {
	every := time.NewTicker(newsEvery)
	defer every.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		switch {
		case r.News == Calm:
		case r.News == Changes, r.News == Mixed && n%2 == 0:
			changed, _ := r.step()
			r.discovery.Change(changed...)
		default:
			_, list := r.step()
			r.discovery.Set(list...)
		}
	}
}

// throttle lets the node run for its share of the time.
func (r *rig) throttle(ctx context.Context) {
	every := time.NewTicker(duty)
	defer every.Stop()
	runs := time.Duration(r.Share * float64(duty))
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		p := r.process()
		_ = p.Signal(syscall.SIGSTOP)
		rest := time.NewTimer(duty - runs)
		<-rest.C
		_ = p.Signal(syscall.SIGCONT)
	}
}

func (r *rig) process() *testbed.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node
}

// look notes the most descriptors that the node has open.
func (r *rig) look(ctx context.Context) {
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		open, err := r.process().Descriptors()
		if err == nil {
			r.mu.Lock()
			r.result.Descriptors = max(r.result.Descriptors, open)
			r.mu.Unlock()
		}
	}
}

// measure adds up what the process has used. It is for one that is about to end.
func (r *rig) measure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if used, err := r.node.CPU(); err == nil {
		r.result.CPU += used
	}
	if peak, err := r.node.Peak(); err == nil {
		r.result.Peak = max(r.result.Peak, peak)
	}
}

// restart ends the node and begins it anew, as often as the trial says: SIGTERM, and SIGKILL as early as
// the platform may send it.
func (r *rig) restart(ctx context.Context) error {
	for i := range r.Restarts {
		next := time.NewTimer(r.For / time.Duration(r.Restarts+1))
		select {
		case <-ctx.Done():
			return nil
		case <-next.C:
		}
		p := r.process()
		r.measure()
		_ = p.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(r.Deadline+endsAfter, p.Kill)
		<-p.Ended()
		if kill.Stop() && p.Failure() != nil {
			return fmt.Errorf("process %d: %w: %s", i, p.Failure(), p.Logged())
		}
		if err := r.begin(); err != nil {
			return err
		}
	}
	return nil
}

// load sends requests at the trial's rate until the context ends, and waits for their ends.
func (r *rig) load(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: descriptors}}
	defer client.CloseIdleConnections()
	var last atomic.Int64
	var all sync.WaitGroup
	every := time.NewTicker(time.Second / time.Duration(r.Rate))
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			all.Wait()
			return
		case <-every.C:
			all.Go(func() { r.one(client, last.Add(1)) })
		}
	}
}

// one sends a request and books its end.
func (r *rig) one(client *http.Client, number int64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+answerSlack)
	defer cancel()
	began := time.Now()
	status, err := r.ask(ctx, client, number)
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && r.Restarts > 0 && ctx.Err() == nil {
		return // nobody listens between two processes
	}
	r.result.Asked++
	if err == nil && status == http.StatusOK {
		r.took = append(r.took, took)
	}
	switch {
	case err != nil:
		r.result.Unanswered++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.result.Refused++
	case status != http.StatusOK:
		r.result.Failed++
	case took > r.Deadline:
		r.result.Late++
	default:
		r.result.InTime++
	}
}

func (r *rig) ask(ctx context.Context, client *http.Client, number int64) (status int, err error) {
	url := fmt.Sprintf("http://%s/look/k%d", r.addr, number%97)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, fmt.Errorf("a request: %w", err)
	}
	req.Header.Set("Req-Id", fmt.Sprintf("r%d", number))
	req.Header.Set("Req-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("asking: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("reading an answer: %w", err)
	}
	return resp.StatusCode, nil
}
