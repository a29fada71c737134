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

// Nodes are nodes of one deployment, configured by the platform's files, which are started and ended
// together. Their methods are for one goroutine.
type Nodes struct {
	program   Program
	dir       string
	addrs     []string
	processes []*Process // nil for those that do not run
}

// NewNodes writes the files of n nodes that poll discovery, and begin with a cached list. Start starts their
// processes.
func NewNodes(program Program, dir string, n int, discovery string, cached ...emulator.Entry) (*Nodes, error) {
	s := &Nodes{program: program, dir: dir, addrs: make([]string, n), processes: make([]*Process, n)}
	for i := range s.addrs {
		var err error
		if s.addrs[i], err = emulator.UnusedAddr(); err != nil {
			return nil, err
		}
		if err := s.writeConfig(i, discovery, cached); err != nil {
			return nil, fmt.Errorf("writing a node's configuration: %w", err)
		}
	}
	return s, nil
}

func (s *Nodes) writeConfig(i int, discovery string, cached []emulator.Entry) error {
	text, err := json.Marshal(map[string]any{
		"name": s.name(i), "listen": s.addrs[i], "discovery": discovery, "seed": fmt.Sprint(i + 1),
		"limits": map[string]any{"cores": 0.25, "memory_mb": 48, "sockets": 256},
		"known":  map[string]any{"seq": 5, "whole": true, "hosts": cached},
		"settings": map[string]any{
			"myNumber": i, "nInstances": len(s.addrs), "discovery": "ask", "rules": map[string]any{"askWithinMs": 10000},
			"classes": []any{map[string]any{"name": "look", "effect": "free", "objectiveMs": 1000, "deadlineMs": 2000}},
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(s.file(i), text, 0o600)
}

func (s *Nodes) name(i int) string { return fmt.Sprintf("n%02d", i) }

func (s *Nodes) file(i int) string { return filepath.Join(s.dir, s.name(i)+".json") }

// Start starts all nodes at once, and returns how long each took until GET /up was answered with 200,
// shortest first. It is an error if one takes longer than most.
func (s *Nodes) Start(most time.Duration) ([]time.Duration, error) {
	took, errs := make([]time.Duration, len(s.addrs)), make([]error, len(s.addrs))
	var starting sync.WaitGroup
	began := time.Now()
	for i := range s.addrs {
		starting.Go(func() { took[i], errs[i] = s.startNode(i, began, most) })
	}
	starting.Wait()
	slices.Sort(took)
	return took, errors.Join(errs...)
}

// readyPoll is how often a node that starts is asked whether it is up.
const readyPoll = 5 * time.Millisecond

// startNode starts one node, and returns how long after began it was up.
func (s *Nodes) startNode(i int, began time.Time, most time.Duration) (time.Duration, error) {
	p := s.program
	p.Env = append(slices.Clone(p.Env), "GW_CONFIG="+s.file(i))
	var err error
	if s.processes[i], err = p.Start(s.dir, s.name(i)); err != nil {
		return 0, err
	}
	for !isUp(s.addrs[i]) {
		if time.Since(began) > most {
			return 0, fmt.Errorf("%s is not ready after %v: %s", s.name(i), most, s.processes[i].Logged())
		}
		time.Sleep(readyPoll)
	}
	return time.Since(began), nil
}

// isUp asks a node whether it takes clients, as the load balancer in front of it does.
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
func (s *Nodes) End(kill bool) error {
	errs := make([]error, len(s.processes))
	var ending sync.WaitGroup
	for i, p := range s.processes {
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
	clear(s.processes)
	return errors.Join(errs...)
}
