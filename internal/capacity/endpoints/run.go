package endpoints

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

const (
	serverCount = 8                     // number of emulated servers, which serve all listed names
	meanWork    = 30 * time.Millisecond // mean work of a request at a server
	maxWork     = 10 * meanWork
	zoneCount   = 3
	// updateInterval is the interval between updates of the list. Each update replaces one server in
	// replacedDivisor.
	updateInterval  = time.Second
	replacedDivisor = 20
)

// trialRun is a running trial.
type trialRun struct {
	Trial
	program   testbed.Program
	dir, addr string
	discovery *emulator.Discovery
	servers   []*emulator.ScriptedServer
	release   rollingRelease // used by sendUpdates only once the trial has started

	mu         sync.Mutex
	latestList []emulator.Entry
	node       *testbed.Process
	result     Result
	latencies  []time.Duration // latencies of answers with 200
}

// Run runs a trial with a program that is a node configured by the platform's environment. It waits until all
// goroutines and processes that it starts have ended.
func Run(ctx context.Context, t Trial, program testbed.Program, dir string) (Result, error) {
	r := &trialRun{Trial: t, program: program, dir: dir}
	defer r.close()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	ctx, stop := context.WithTimeout(ctx, t.Duration)
	defer stop()
	var background sync.WaitGroup // the background goroutines, all of which end with ctx
	background.Go(func() { r.sendUpdates(ctx) })
	background.Go(func() { r.watchDescriptors(ctx) })
	var restartErr error
	background.Go(func() { restartErr = r.restartNode(ctx) })
	if t.CoreShare < 1 {
		background.Go(func() { r.throttle(ctx) })
	}
	r.sendLoad(ctx)
	background.Wait()
	r.addUsage()
	return r.finalResult(), restartErr
}

// start starts the servers, discovery and the node.
func (r *trialRun) start() error {
	for range serverCount {
		s, err := emulator.NewScriptedServer(answerAfterWork)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	r.release = rollingRelease{servers: r.servers}
	var err error
	r.latestList = r.release.listFirst(r.Servers)
	if r.discovery, err = emulator.NewDiscovery(r.latestList...); err != nil {
		return err
	}
	if r.addr, err = emulator.UnusedAddr(); err != nil {
		return err
	}
	return r.startNode()
}

// finalResult completes the result after the load and all background goroutines have ended.
func (r *trialRun) finalResult() Result {
	for _, s := range r.servers {
		r.result.Connections += s.Conns.Load()
	}
	r.result.ListBytes = r.discovery.Bytes.Load()
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		r.result.P99 = r.latencies[n*99/100]
	}
	return r.result
}

func (r *trialRun) close() {
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

// answerAfterWork answers after an exponentially distributed time with mean meanWork, with the request id as
// the seed, or after maxWork if that is shorter.
func answerAfterWork(c net.Conn, q *http.Request, body []byte) bool {
	h := fnv.New64a()
	_, _ = io.WriteString(h, q.Header.Get("Req-Id"))
	relative := rand.New(rand.NewPCG(h.Sum64(), 0)).ExpFloat64()
	work := time.NewTimer(min(time.Duration(relative*float64(meanWork)), maxWork))
	<-work.C
	return emulator.Echo(c, q, body)
}

// cachedList returns the list that a new process starts with: the latest one.
func (r *trialRun) cachedList() []emulator.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latestList
}

// replaceServers replaces some servers, and returns the changed entries and the complete list.
func (r *trialRun) replaceServers() (changed, list []emulator.Entry) {
	changed = r.release.step(max(1, r.Servers/replacedDivisor))
	list = r.release.list()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latestList = list
	return changed, list
}

// sendUpdates updates the endpoint list in the trial's update mode.
func (r *trialRun) sendUpdates(ctx context.Context) {
	interval := time.NewTicker(updateInterval)
	defer interval.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-interval.C:
		}
		switch {
		case r.Updates == NoUpdates:
		case r.Updates == Changes, r.Updates == Alternating && n%2 == 0:
			changed, _ := r.replaceServers()
			r.discovery.ChangeEntries(changed...)
		default:
			_, list := r.replaceServers()
			r.discovery.SetList(list...)
		}
	}
}
