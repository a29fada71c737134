package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/testbed"
)

// Options say how a plan is played.
type Options struct {
	Program testbed.Program // a node by the platform's environment, which prints its address
	Dir     string          // for files and logs
}

// run is a plan that is being played.
type run struct {
	*Record
	opt       Options
	discovery *emulator.Discovery
	servers   []*server
	links     []*emulator.Proxy
	nodes     []*instance
	clients   *clients

	mu       sync.Mutex // of the list
	draining map[int]bool
}

// Run plays a plan and gives what was seen. An error is of the harness, and no finding.
func Run(ctx context.Context, p Plan, opt Options) (*Record, error) {
	r := &run{
		Record: &Record{Plan: p, Began: time.Now(), Drains: make(map[int][]Span)}, opt: opt,
		draining: make(map[int]bool),
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.Began = time.Now()
	stop := make(chan struct{})
	var load, troubles sync.WaitGroup
	load.Go(func() { r.clients.run(stop) })
	for _, t := range p.Troubles {
		troubles.Go(func() {
			if wait(ctx, time.Until(r.Began.Add(t.At))) {
				r.say("%v", t)
				r.play(ctx, t)
			}
		})
	}
	wait(ctx, p.For)
	troubles.Wait()
	wait(ctx, quietTail)
	close(stop)
	load.Wait()
	r.clients.all.Wait()
	for _, n := range r.nodes {
		n.end()
	}
	r.Stalls = r.stalls()
	return r.Record, ctx.Err()
}

// wait pauses, and says false once the context has ended.
func wait(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// say writes a line of the run's time line.
func (r *run) say(format string, args ...any) {
	r.Record.mu.Lock()
	defer r.Record.mu.Unlock()
	r.Log = append(r.Log, fmt.Sprintf("%8v ", time.Since(r.Began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// start starts servers, discovery and nodes.
func (r *run) start() error {
	memory := &keyMemory{until: make(map[string]time.Time)}
	for i := range r.Plan.Servers {
		s, err := newServer(i, r.Record, memory)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
		link, err := emulator.NewProxy(s.addr)
		if err != nil {
			return err
		}
		r.links = append(r.links, link)
	}
	var err error
	if r.discovery, err = emulator.NewDiscovery(r.entries()...); err != nil {
		return err
	}
	r.clients = &clients{record: r.Record, random: rand.New(rand.NewPCG(r.Plan.Seed, 0xc11e))}
	var starting sync.WaitGroup
	failed := make(chan error, r.Plan.Nodes)
	for i := range r.Plan.Nodes {
		n, err := newInstance(r, i)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		r.clients.doors = append(r.clients.doors, n.door)
	}
	for _, n := range r.nodes {
		starting.Go(func() {
			if err := n.begin(); err != nil {
				failed <- err
			}
		})
	}
	starting.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// close ends all that may be left.
func (r *run) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	if r.discovery != nil {
		_ = r.discovery.Close()
	}
	for _, link := range r.links {
		_ = link.Close()
	}
	for _, s := range r.servers {
		s.close()
	}
}

// entries are the servers as discovery lists them.
func (r *run) entries() []emulator.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []emulator.Entry
	for n := range r.Plan.Names {
		i := n % len(r.servers)
		s := r.servers[i]
		e := emulator.Hosts(r.links[i].Addr)[0]
		e.Host = fmt.Sprintf("s-%d", n)
		if r.draining[i] {
			e.Health = "terminating"
		}
		s.mu.Lock()
		if !s.born.IsZero() {
			e.BornMS = float64(s.born.Add(r.Plan.Skew).UnixMilli())
		}
		s.mu.Unlock()
		all = append(all, e)
	}
	return all
}

// list has a server drain, or serve again, and tells discovery.
func (r *run) list(number int, drains bool) {
	r.mu.Lock()
	r.draining[number] = drains
	r.mu.Unlock()
	r.discovery.Set(r.entries()...)
}

// settings are a node's configuration as the platform writes it.
func (r *run) settings(n *instance) map[string]any {
	var classes []map[string]any
	for _, c := range r.Plan.Classes {
		ms := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
		classes = append(classes, map[string]any{
			"name": c.Name, "effect": string(c.Effect), "dedupScope": "all", "windowMs": ms(c.Window),
			"objectiveMs": ms(c.Deadline) * 3 / 4, "deadlineMs": ms(c.Deadline), "gain": 1,
		})
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", n.number), "listen": n.addr, "control": n.control, "discovery": r.discovery.Addr,
		"seed": fmt.Sprint(r.Plan.Seed + uint64(n.number)), "limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": descriptors},
		"known": map[string]any{"seq": 1, "whole": true, "hosts": []emulator.Entry{}},
		"settings": map[string]any{
			"myNumber": n.number, "nInstances": r.Plan.Nodes, "az": 0, "zones": []string{"a"}, "discovery": "ask",
			"ceilings": map[string]any{"maxAttempts": 3, "secondCopies": true, "cancel": true, "dialTimeoutMs": 250, "keepaliveMs": 15000, "retryAfter": true, "maxRetryAfterMs": 2000},
			"rules": map[string]any{
				"askWithinMs": 2000, "stopSendingWithinMs": r.Plan.Grace.Milliseconds(), "warmWithinMs": r.Plan.Cold.Milliseconds(),
				"startCapacity": 0.3, "fallMultiple": 2.5, "overloadForMs": 1000,
			},
			"valueBy": "request", "classes": classes,
		},
	}
}

// write writes a node's file, whole or broken.
func (r *run) write(n *instance, broken bool) error {
	text, err := json.Marshal(r.settings(n))
	if err != nil {
		return fmt.Errorf("a node's file: %w", err)
	}
	if broken {
		text = text[:len(text)/2]
	}
	draft := n.file + ".new"
	if err := os.WriteFile(draft, text, 0o600); err != nil {
		return fmt.Errorf("a node's file: %w", err)
	}
	if err := os.Rename(draft, n.file); err != nil {
		return fmt.Errorf("a node's file: %w", err)
	}
	return nil
}

func (r *run) path(name string) string { return filepath.Join(r.opt.Dir, name) }
