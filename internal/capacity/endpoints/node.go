package endpoints

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"jasperpin/internal/emulator/testbed"
)

const (
	throttlePeriod  = 20 * time.Millisecond
	descriptorLimit = 256
	descriptorPoll  = 100 * time.Millisecond
	startTimeout    = 10 * time.Second
	readyPoll       = 10 * time.Millisecond
	// The platform may send SIGKILL once the longest deadline and killDelay have passed since SIGTERM.
	killDelay = 700 * time.Millisecond
)

// nodeConfig returns the node's configuration in the platform's format.
func (r *trialRun) nodeConfig() map[string]any {
	ms := float64(r.Deadline.Milliseconds())
	return map[string]any{
		"name": "n", "listen": r.addr, "discovery": r.discovery.Addr, "seed": "1",
		"limits": map[string]any{"cores": r.CoreShare, "memory_mb": 48, "sockets": descriptorLimit},
		"known":  map[string]any{"seq": r.discovery.Version(), "whole": true, "hosts": r.cachedList()},
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

// startNode starts a process of the node and waits until it is ready.
func (r *trialRun) startNode() error {
	text, err := json.Marshal(r.nodeConfig())
	if err != nil {
		return fmt.Errorf("encoding the node's configuration: %w", err)
	}
	file := filepath.Join(r.dir, "node.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("writing the node's configuration: %w", err)
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
	return r.awaitReady(p)
}

// awaitReady waits until the node reports that it is up.
func (r *trialRun) awaitReady(p *testbed.Process) error {
	timeout := time.After(startTimeout)
	for {
		if r.isUp() {
			return nil
		}
		select {
		case <-p.Ended():
			return fmt.Errorf("node ended: %w: %s", p.Failure(), p.Logged())
		case <-timeout:
			return fmt.Errorf("node not ready within %v: %s", startTimeout, p.Logged())
		case <-time.After(readyPoll):
		}
	}
}

func (r *trialRun) isUp() bool {
	resp, err := http.Get("http://" + r.addr + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *trialRun) currentNode() *testbed.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node
}

// restartNode restarts the node Trial.Restarts times: it sends SIGTERM, and SIGKILL as early as the platform may
// send it.
func (r *trialRun) restartNode(ctx context.Context) error {
	for i := range r.Restarts {
		next := time.NewTimer(r.Duration / time.Duration(r.Restarts+1))
		select {
		case <-ctx.Done():
			return nil
		case <-next.C:
		}
		p := r.currentNode()
		r.addUsage()
		_ = p.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(r.Deadline+killDelay, p.Kill)
		<-p.Ended()
		if kill.Stop() && p.Failure() != nil {
			return fmt.Errorf("process %d: %w: %s", i, p.Failure(), p.Logged())
		}
		if err := r.startNode(); err != nil {
			return err
		}
	}
	return nil
}

// throttle stops the process for a part of each period, so that it gets its share of a core.
func (r *trialRun) throttle(ctx context.Context) {
	period := time.NewTicker(throttlePeriod)
	defer period.Stop()
	running := time.Duration(r.CoreShare * float64(throttlePeriod))
	for {
		select {
		case <-ctx.Done():
			return
		case <-period.C:
		}
		p := r.currentNode()
		_ = p.Signal(syscall.SIGSTOP)
		stopped := time.NewTimer(throttlePeriod - running)
		<-stopped.C
		_ = p.Signal(syscall.SIGCONT)
	}
}

// watchDescriptors records the largest number of descriptors that the node has open.
func (r *trialRun) watchDescriptors(ctx context.Context) {
	interval := time.NewTicker(descriptorPoll)
	defer interval.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-interval.C:
		}
		open, err := r.currentNode().Descriptors()
		if err != nil {
			continue // the old process has ended and the next one has not started
		}
		r.mu.Lock()
		r.result.Descriptors = max(r.result.Descriptors, open)
		r.mu.Unlock()
	}
}

// addUsage adds the current process's usage to the result. It is called once for each process, before its end.
func (r *trialRun) addUsage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if used, err := r.node.CPU(); err == nil {
		r.result.CPU += used
	}
	if peak, err := r.node.PeakMemory(); err == nil {
		r.result.PeakMemory = max(r.result.PeakMemory, peak)
	}
}
