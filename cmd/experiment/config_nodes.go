package main

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/configlog"
	"jasperpin/internal/configsync"
	"jasperpin/internal/emulator/testbed"
)

const (
	syncTimeout = time.Minute            // maximum time until all nodes are in sync
	syncPoll    = 5 * time.Millisecond   // time between two checks whether nodes are in sync
	minPoll     = 100 * time.Millisecond // minimum time between two polls of a real node
)

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// nodeVersion is the version that a node has applied.
type nodeVersion struct {
	startedAt  time.Time
	version    atomic.Uint64
	down       bool           // the node was killed and is not yet restarted
	maxLatency *time.Duration // longest latency of nodes of this kind; guarded by configCluster.mu
}

// follower is the configuration client of a node, in this process.
type follower struct {
	*configsync.Source
	nodeVersion
}

// realNode is a node in its own process, whose metrics are polled.
type realNode struct {
	*testbed.Process
	nodeVersion
	file, adminAddr string
	rejected        atomic.Uint64 // number of rejected records in the node's metrics
	stopPolling     context.CancelFunc
	pollingDone     chan struct{} // closed once polling has ended
}

// kill kills a real node, and waits until its polling has ended.
func (n *realNode) kill() {
	if n.Process != nil {
		n.Kill()
		n.stopPolling()
		<-n.pollingDone
	}
}

// startFollower starts the i-th follower, and replaces an earlier one. If withCopy is true, the follower stores a
// copy of the configuration on disk, from which it can be restarted.
func (c *configCluster) startFollower(i int, withCopy bool) error {
	zone, region := zoneAndRegion(i % len(zoneRegions))
	n := &follower{nodeVersion: nodeVersion{startedAt: time.Now(), maxLatency: &c.maxFollowerLatency}}
	opt := configsync.SourceOptions{
		Name: fmt.Sprintf("node%04d", i), Zone: zone, Region: region, Relays: c.relayAddrs, Files: c.files, Seed: uint64(i),
		Log:     discardLog(),
		Install: func(s configlog.Snapshot) error { c.recordVersion(&n.nodeVersion, s.Version()); return nil },
		Apply:   func(change configlog.Change) error { c.recordVersion(&n.nodeVersion, change.Version); return nil },
	}
	if withCopy {
		opt.Dir = filepath.Join(c.dir, opt.Name)
	}
	var err error
	if n.Source, err = configsync.NewSource(opt); err != nil {
		return err
	}
	if i < len(c.followers) {
		c.followers[i] = n
	} else {
		c.followers = append(c.followers, n)
	}
	return nil
}

// restartFollowers restarts the first n followers from their copies.
func (c *configCluster) restartFollowers(n int) error {
	for i := range n {
		c.followers[i].Close()
	}
	for i := range n {
		if err := c.startFollower(i, true); err != nil {
			return err
		}
		if c.followers[i].version.Load() == 0 {
			return fmt.Errorf("%w: a restarted follower has loaded nothing from its copy", errBound)
		}
	}
	return nil
}

// addRealNode writes the configuration file of the i-th real node, and starts the node.
func (c *configCluster) addRealNode(i int) error {
	zone, region := zoneAndRegion(i % len(zoneRegions))
	name := fmt.Sprintf("real%02d", i)
	base := filepath.Join(c.dir, name)
	n := &realNode{file: base + ".toml", adminAddr: "unix:" + base + ".door"}
	text := fmt.Sprintf("[node]\nname = %q\nlisten = [\"127.0.0.1:0\"]\ncontrol = %q\n[config]\nzone = %q\nregion = %q\nfolder = %q\ncertificate = %q\nkey = %q\nauthorities = %q\n",
		name, n.adminAddr, zone, region, base, c.files.Certificate, c.files.Key, c.files.Authorities)
	for _, r := range c.relayAddrs {
		text += fmt.Sprintf("[[config.relay]]\nname = %q\naddress = %q\nzone = %q\nregion = %q\n", r.Name, r.Addr, r.Zone, r.Region)
	}
	if err := writeNodeFile(n.file, text); err != nil {
		return err
	}
	c.realNodes = append(c.realNodes, n)
	return c.startRealNode(n)
}

// startRealNode starts a real node, and polls its metrics until it is killed.
func (c *configCluster) startRealNode(n *realNode) (err error) {
	n.startedAt, n.down, n.maxLatency = time.Now(), false, &c.maxRealLatency
	n.version.Store(0)
	if n.Process, err = startChild(c.dir, nodeChild, n.file); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.pollingDone, n.stopPolling = make(chan struct{}), stop
	go func() {
		defer close(n.pollingDone)
		c.pollRepeatedly(ctx, n)
	}()
	return nil
}

// pollRepeatedly polls a real node until ctx is done. Polls are so rare that they are a small part of the node's
// work.
func (c *configCluster) pollRepeatedly(ctx context.Context, n *realNode) {
	for ctx.Err() == nil {
		began := time.Now()
		if !c.pollingPaused.Load() {
			c.poll(ctx, n)
		}
		took := time.Since(began)
		pause := min(max(minPoll, 3*took), 3*minPoll)
		c.mu.Lock()
		c.maxPollInterval = max(c.maxPollInterval, took+pause)
		c.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// poll reads a real node's metrics once.
func (c *configCluster) poll(ctx context.Context, n *realNode) {
	lines, err := admin.Call(ctx, n.adminAddr, "telemetry")
	if err != nil {
		return // the node is starting, or was killed
	}
	for _, line := range lines {
		name, value, _ := strings.Cut(line, "=")
		if name != "config_version" && name != "config_refused" {
			continue
		}
		v, err := strconv.ParseUint(value, 10, 64)
		switch {
		case err != nil:
		case name == "config_refused":
			n.rejected.Store(v)
		case v > n.version.Load():
			c.recordVersion(&n.nodeVersion, v)
		}
	}
}

// recordVersion records that a node has applied a version and all before it. Latencies are recorded only during a
// trial, and only for changes that were proposed after the node's start.
func (c *configCluster) recordVersion(n *nodeVersion, version uint64) {
	now := time.Now()
	c.mu.Lock()
	for v := n.version.Load() + 1; v <= version; v++ {
		if proposedAt, ok := c.proposedAt[v]; ok && c.latency != nil && n.startedAt.Before(proposedAt) {
			latency := now.Sub(proposedAt)
			*n.maxLatency = max(*n.maxLatency, latency)
			_ = c.latency.RecordValue(latency.Microseconds()) // syncTimeout is below the histogram's maximum
		}
	}
	c.mu.Unlock()
	n.version.Store(version)
}

// countBehind counts the running nodes that have not applied the latest version. It also returns the reason of one
// of them, or its file if it is a real node.
func (c *configCluster) countBehind() (n int, reason string) {
	for _, f := range c.followers {
		if !f.down && f.version.Load() != c.version {
			n++
			reason = f.Status().Reason
		}
	}
	for _, r := range c.realNodes {
		if !r.down && r.version.Load() != c.version {
			n++
			reason = r.file
		}
	}
	return n, reason
}

// awaitInSync waits until all running nodes have applied the latest version.
func (c *configCluster) awaitInSync(ctx context.Context) error {
	began := time.Now()
	for {
		n, reason := c.countBehind()
		switch {
		case n == 0:
			return nil
		case time.Since(began) > syncTimeout || ctx.Err() != nil:
			return fmt.Errorf("%w: %d nodes are behind version %d after %v: %s", errBound, n, c.version, time.Since(began), reason)
		}
		time.Sleep(syncPoll)
	}
}
