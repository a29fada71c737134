package consensus

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"jasperpin/internal/mtls"
)

const (
	// instancePrefix is the prefix of the leases that register instances.
	instancePrefix = "instance/"
	// voterRetryInterval is the time between two attempts to start a voter while another process of this voter
	// runs, as during an upgrade.
	voterRetryInterval = 200 * time.Millisecond
	// deregisterTimeout bounds how long Instance.Close waits for the release of the registration lease.
	deregisterTimeout = 500 * time.Millisecond
)

// InstanceOptions configures an instance.
type InstanceOptions struct {
	Name   string   // the instance's name, unique in the installation
	Voters []string // the addresses of the cluster's voters
	// Listen and Dir are the address and directory of this instance's voter. If Dir is empty, the instance has
	// no voter.
	Listen, Dir string
	Files       mtls.Files
	LeaseTTL    time.Duration // the TTL of the registration lease
	Log         *slog.Logger
}

// Instance is a process that is registered with the cluster by a lease. It runs a voter if it has a directory for
// a voter.
type Instance struct {
	*Client
	incarnation  string
	registration *HeldLease
	stop         context.CancelFunc
	running      sync.WaitGroup

	mu    sync.Mutex
	voter *Voter // the instance's voter; nil until it has started, or if the instance has none
}

// OpenInstance starts an instance. It does not wait for the cluster. If another process uses the voter's directory,
// OpenInstance does not wait for that process either; the voter starts in the background once that process has ended.
func OpenInstance(opt InstanceOptions) (*Instance, error) {
	c, err := NewClient(opt.Voters, opt.Files)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &Instance{Client: c, stop: stop}
	if opt.Dir != "" {
		if err := i.openVoter(ctx, Options{Listen: opt.Listen, Dir: opt.Dir, Files: opt.Files, Log: opt.Log}); err != nil {
			stop()
			c.Close()
			return nil, err
		}
	}
	i.incarnation = rand.Text()
	i.registration = c.HoldLease(instancePrefix+opt.Name, opt.Name+"/"+i.incarnation, opt.LeaseTTL)
	return i, nil
}

// openVoter starts the voter. If another process still uses its files, the voter starts in the background.
func (i *Instance) openVoter(ctx context.Context, opt Options) error {
	v, err := Start(opt)
	if errors.Is(err, ErrBusy) {
		opt.Log.Info("voter is waiting for another process to end", "dir", opt.Dir, "listen", opt.Listen, "err", err)
		i.running.Go(func() { i.awaitVoter(ctx, opt) })
		return nil
	}
	i.voter = v // no other goroutine uses the instance yet
	return err
}

// awaitVoter starts the voter once the other process has ended.
func (i *Instance) awaitVoter(ctx context.Context, opt Options) {
	ticker := time.NewTicker(voterRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		v, err := Start(opt)
		if errors.Is(err, ErrBusy) {
			continue
		}
		if err != nil {
			opt.Log.Error("voter not started", "dir", opt.Dir, "listen", opt.Listen, "err", err)
			return
		}
		i.mu.Lock()
		i.voter = v
		i.mu.Unlock()
		return
	}
}

// Close deregisters the instance and closes its voter and client.
func (i *Instance) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	i.registration.Release(ctx)
	i.stop()
	i.running.Wait()
	i.mu.Lock()
	v := i.voter
	i.mu.Unlock()
	if v != nil {
		v.Close()
	}
	i.Client.Close()
}

// RegisteredUntil returns this instance's incarnation, and the time at which its registration ends unless it is
// renewed. That time is in the past while the instance is not registered.
func (i *Instance) RegisteredUntil() (incarnation string, until time.Time) {
	return i.incarnation, i.registration.Deadline()
}

// Instances returns the registered instances, ordered by name.
func (c *Client) Instances(ctx context.Context) ([]RegisteredInstance, error) {
	prefix := instancePrefix
	resp, err := c.Read(ctx, ReadRequest{Leases: &prefix})
	if err != nil {
		return nil, fmt.Errorf("reading the instances: %w", err)
	}
	var all []RegisteredInstance
	for _, l := range resp.Leases {
		name := strings.TrimPrefix(l.Name, instancePrefix)
		all = append(all, RegisteredInstance{Name: name, Incarnation: strings.TrimPrefix(l.Holder, name+"/"), FencingToken: l.FencingToken})
	}
	return all, nil
}
