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

// Nodes are many nodes by the platform's files, which start and end together.
type Nodes struct {
	program Program
	dir     string
	listen  []string
	procs   []*Process
}

// NewNodes lays out nodes of one deployment, whose discovery is asked, and which begin with the list that
// was kept. Start starts their processes.
func NewNodes(program Program, dir string, n int, discovery string, kept ...emulator.Entry) (*Nodes, error) {
	s := &Nodes{program: program, dir: dir, listen: make([]string, n), procs: make([]*Process, n)}
	for i := range s.listen {
		var err error
		if s.listen[i], err = emulator.Unused(); err != nil {
			return nil, err
		}
		text, err := json.Marshal(map[string]any{
			"name": s.name(i), "listen": s.listen[i], "discovery": discovery, "seed": fmt.Sprint(i + 1),
			"limits": map[string]any{"cores": 0.25, "memory_mb": 48, "sockets": 256},
			"known":  map[string]any{"seq": 5, "whole": true, "hosts": kept},
			"settings": map[string]any{
				"myNumber": i, "nInstances": n, "discovery": "ask", "rules": map[string]any{"askWithinMs": 10000},
				"classes": []any{map[string]any{"name": "look", "effect": "free", "objectiveMs": 1000, "deadlineMs": 2000}},
			},
		})
		if err == nil {
			err = os.WriteFile(s.file(i), text, 0o600)
		}
		if err != nil {
			return nil, fmt.Errorf("a node's file: %w", err)
		}
	}
	return s, nil
}

func (s *Nodes) name(i int) string { return fmt.Sprintf("n%02d", i) }

func (s *Nodes) file(i int) string { return filepath.Join(s.dir, s.name(i)+".json") }

// Start starts all at once, and gives how long each took until it was ready, from the least on: its front
// answers 200 to GET /up. One that is not ready after most is an error.
func (s *Nodes) Start(most time.Duration) ([]time.Duration, error) {
	took, errs := make([]time.Duration, len(s.listen)), make([]error, len(s.listen))
	var all sync.WaitGroup
	began := time.Now()
	for i := range s.listen {
		all.Go(func() {
			p := s.program
			p.Env = append(slices.Clone(p.Env), "GW_CONFIG="+s.file(i))
			if s.procs[i], errs[i] = p.Start(s.dir, s.name(i)); errs[i] != nil {
				return
			}
			for !up(s.listen[i]) {
				if time.Since(began) > most {
					errs[i] = fmt.Errorf("%s is not ready after %v: %s", s.name(i), most, s.procs[i].Logged())
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			took[i] = time.Since(began)
		})
	}
	all.Wait()
	slices.Sort(took)
	return took, errors.Join(errs...)
}

// up says whether a node takes clients, as the front before it asks.
func up(addr string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// End has all end by themselves, or kills them.
func (s *Nodes) End(kill bool) error {
	errs := make([]error, len(s.procs))
	var all sync.WaitGroup
	for i, p := range s.procs {
		if p == nil {
			continue
		}
		all.Go(func() {
			if kill {
				p.Kill()
			} else {
				errs[i] = p.End()
			}
		})
	}
	all.Wait()
	clear(s.procs)
	return errors.Join(errs...)
}
