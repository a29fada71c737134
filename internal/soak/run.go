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

// Options configures the run of a plan.
type Options struct {
	Program testbed.Program // a node configured by the platform's environment; it announces its address unless Deployed is set
	Dir     string          // existing directory for the nodes' files and logs
	// Deployed is set if the program is built and started as it is deployed: its memory is counted, which the race
	// detector multiplies, and it announces nothing.
	Deployed bool
}

// run is the execution of a plan.
type run struct {
	*Record
	options   Options
	discovery *emulator.Discovery
	servers   []*server
	links     []*emulator.Proxy
	nodes     []*nodeRunner
	clients   *clients

	mu       sync.Mutex
	draining map[int]bool // whether each server is listed as draining by discovery
}

// Run executes a plan and returns the record of the run. An error means that the harness failed, and says nothing
// about the node. Run waits until everything that it started has ended.
func Run(ctx context.Context, plan Plan, opts Options) (*Record, error) {
	r := &run{
		Record: &Record{Plan: plan, Began: time.Now(), Drains: make(map[int][]Interval)}, options: opts,
		draining: make(map[int]bool),
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.Began = time.Now()
	stop := make(chan struct{})
	var load, faults sync.WaitGroup
	load.Go(func() { r.clients.run(stop) })
	load.Go(func() { r.reportLateness(stop) })
	for _, fault := range plan.Faults {
		faults.Go(func() {
			if emulator.Sleep(ctx, time.Until(r.Began.Add(fault.At))) {
				r.logf("%v", fault)
				r.inject(ctx, fault)
			}
		})
	}
	emulator.Sleep(ctx, plan.Duration)
	faults.Wait()
	emulator.Sleep(ctx, quietTail)
	close(stop)
	load.Wait()
	r.clients.running.Wait()
	for _, n := range r.nodes {
		n.terminate()
	}
	return r.Record, ctx.Err()
}

// logf appends a line to the record's log.
func (r *run) logf(format string, args ...any) {
	r.update(func() {
		r.Log = append(r.Log, fmt.Sprintf("%8v ", time.Since(r.Began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
	})
}

// clientsStream is the random stream of the clients, separate from that of the plan.
const clientsStream = 0xc11e

// start starts servers, discovery and nodes. close stops what it has started, also after an error.
func (r *run) start() error {
	if err := r.startServers(); err != nil {
		return err
	}
	var err error
	if r.discovery, err = emulator.NewDiscovery(r.listedServers()...); err != nil {
		return err
	}
	r.clients = &clients{record: r.Record, random: rand.New(rand.NewPCG(r.Plan.Seed, clientsStream))}
	return r.startNodes()
}

// startServers starts the servers, each behind its own link.
func (r *run) startServers() error {
	dedup := emulator.NewDedupMemory()
	for i := range r.Plan.Servers {
		s, err := newServer(i, r.Record, dedup)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
		link, err := emulator.NewProxy(s.addr)
		if err != nil {
			return err
		}
		s.link = link
		r.links = append(r.links, link)
	}
	return nil
}

// startNodes starts all nodes at once.
func (r *run) startNodes() error {
	for i := range r.Plan.Nodes {
		n, err := newNodeRunner(r, i)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		r.clients.endpoints = append(r.clients.endpoints, n.endpoint)
	}
	var starting sync.WaitGroup
	failed := make(chan error, r.Plan.Nodes)
	for _, n := range r.nodes {
		starting.Go(func() {
			if err := n.start(); err != nil {
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

// close stops everything that start started and that still runs.
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

// listedServers returns the endpoint list.
func (r *run) listedServers() []emulator.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []emulator.Entry
	for n := range r.Plan.ListedServers {
		i := n % len(r.servers)
		s := r.servers[i]
		e := emulator.InServiceEntries(r.links[i].Addr)[0]
		e.Host = fmt.Sprintf("s-%d", n)
		if r.draining[i] {
			e.Health = "terminating"
		}
		s.mu.Lock()
		if !s.startedAt.IsZero() {
			e.BornMS = float64(s.startedAt.Add(r.Plan.ClockSkew).UnixMilli())
		}
		s.mu.Unlock()
		all = append(all, e)
	}
	return all
}

// setDraining lists a server as draining or as in service.
func (r *run) setDraining(number int, draining bool) {
	r.mu.Lock()
	r.draining[number] = draining
	r.mu.Unlock()
	r.discovery.SetList(r.listedServers()...)
}

// nodeConfig returns the configuration of a node in the platform's format.
func (r *run) nodeConfig(n *nodeRunner) map[string]any {
	var classes []map[string]any
	for _, c := range r.Plan.Classes {
		ms := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
		classes = append(classes, map[string]any{
			"name": c.Name, "effect": string(c.Idempotency), "dedupScope": "all", "windowMs": ms(c.DedupWindow),
			"objectiveMs": ms(c.Deadline) * 3 / 4, "deadlineMs": ms(c.Deadline), "gain": 1,
		})
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", n.number), "listen": n.addr, "control": n.adminAddr, "discovery": r.discovery.Addr,
		"seed": fmt.Sprint(r.Plan.Seed + uint64(n.number)), "limits": map[string]any{"cores": 1, "memory_mb": r.Plan.MemoryMB, "sockets": r.Plan.Descriptors},
		"known": map[string]any{"seq": 1, "whole": true, "hosts": []emulator.Entry{}},
		"settings": map[string]any{
			"myNumber": n.number, "nInstances": r.Plan.Nodes, "az": 0, "zones": []string{"a"}, "discovery": "ask",
			"ceilings": map[string]any{"maxAttempts": 3, "secondCopies": true, "cancel": true, "dialTimeoutMs": 250, "keepaliveMs": 15000, "retryAfter": true, "maxRetryAfterMs": 2000},
			"rules": map[string]any{
				"askWithinMs": 2000, "stopSendingWithinMs": r.Plan.DrainGrace.Milliseconds(), "warmWithinMs": r.Plan.SlowStart.Milliseconds(),
				"startCapacity": 0.3, "fallMultiple": 2.5, "overloadForMs": 1000,
			},
			"valueBy": "request", "classes": classes,
		},
	}
}

// writeConfig replaces a node's configuration file by a valid one or, if invalid is set, by the first half of it.
func (r *run) writeConfig(n *nodeRunner, invalid bool) error {
	text, err := json.Marshal(r.nodeConfig(n))
	if err != nil {
		return fmt.Errorf("encoding a node's configuration: %w", err)
	}
	if invalid {
		text = text[:len(text)/2]
	}
	draft := n.configFile + ".new"
	if err := os.WriteFile(draft, text, 0o600); err != nil {
		return fmt.Errorf("writing a node's configuration: %w", err)
	}
	if err := os.Rename(draft, n.configFile); err != nil {
		return fmt.Errorf("replacing a node's configuration: %w", err)
	}
	return nil
}

func (r *run) path(name string) string { return filepath.Join(r.options.Dir, name) }
