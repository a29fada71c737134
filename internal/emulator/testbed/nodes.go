package testbed

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/emulator"
)

// Nodes are the nodes of one deployment, configured by the platform's files, that are started and ended together.
// Their methods must not be called concurrently.
type Nodes struct {
	program   Program
	dir       string
	addrs     []string
	processes []*Process // processes by node; nil while a node does not run
}

// NewNodes writes the configuration files of n nodes that poll discovery and start with a cached endpoint list.
// Start starts their processes.
func NewNodes(program Program, dir string, n int, discovery string, cached ...emulator.Entry) (*Nodes, error) {
	nodes := &Nodes{program: program, dir: dir, addrs: make([]string, n), processes: make([]*Process, n)}
	for i := range nodes.addrs {
		var err error
		if nodes.addrs[i], err = emulator.UnusedAddr(); err != nil {
			return nil, err
		}
		if err := nodes.writeConfig(i, discovery, cached); err != nil {
			return nil, fmt.Errorf("writing a node's configuration: %w", err)
		}
	}
	return nodes, nil
}

func (n *Nodes) writeConfig(i int, discovery string, cached []emulator.Entry) error {
	text, err := json.Marshal(map[string]any{
		"name": n.name(i), "listen": n.addrs[i], "discovery": discovery, "seed": fmt.Sprint(i + 1),
		"limits": map[string]any{"cores": 0.25, "memory_mb": 48, "sockets": 256},
		"known":  map[string]any{"seq": 5, "whole": true, "hosts": cached},
		"settings": map[string]any{
			"myNumber": i, "nInstances": len(n.addrs), "discovery": "ask", "rules": map[string]any{"askWithinMs": 10000},
			"classes": []any{map[string]any{"name": "look", "effect": "free", "objectiveMs": 1000, "deadlineMs": 2000}},
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.file(i), text, 0o600)
}

func (n *Nodes) name(i int) string { return fmt.Sprintf("n%02d", i) }

func (n *Nodes) file(i int) string { return filepath.Join(n.dir, n.name(i)+".json") }

// Start starts all nodes at once. It returns the time until each node answered GET /up with 200, shortest first,
// and an error if a node takes longer than timeout.
func (n *Nodes) Start(timeout time.Duration) ([]time.Duration, error) {
	took, errs := make([]time.Duration, len(n.addrs)), make([]error, len(n.addrs))
	var starting sync.WaitGroup
	began := time.Now()
	for i := range n.addrs {
		starting.Go(func() { took[i], errs[i] = n.startNode(i, began, timeout) })
	}
	starting.Wait()
	slices.Sort(took)
	return took, errors.Join(errs...)
}

// readyPoll is the interval at which a node that is starting is probed.
const readyPoll = 5 * time.Millisecond

// startNode starts one node, and returns the time from began until the node was up.
func (n *Nodes) startNode(i int, began time.Time, timeout time.Duration) (time.Duration, error) {
	p := n.program
	p.Env = append(slices.Clone(p.Env), "GW_CONFIG="+n.file(i))
	var err error
	if n.processes[i], err = p.Start(n.dir, n.name(i)); err != nil {
		return 0, err
	}
	for !isUp(n.addrs[i]) {
		if time.Since(began) > timeout {
			return 0, fmt.Errorf("%s is not ready after %v: %s", n.name(i), timeout, n.processes[i].Logged())
		}
		time.Sleep(readyPoll)
	}
	return time.Since(began), nil
}

// isUp probes whether a node accepts clients, as the load balancer in front of it does.
func isUp(addr string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// End ends all nodes at once, with SIGKILL or SIGTERM, and waits for them.
func (n *Nodes) End(kill bool) error {
	errs := make([]error, len(n.processes))
	var ending sync.WaitGroup
	for i, p := range n.processes {
		if p == nil {
			continue
		}
		ending.Go(func() {
			if kill {
				p.Kill()
			} else {
				errs[i] = p.Terminate()
			}
		})
	}
	ending.Wait()
	clear(n.processes)
	return errors.Join(errs...)
}
