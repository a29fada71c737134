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
	// voterRetryInterval is the time between two attempts to start a voter while another process of it
	// runs, as in an upgrade.
	voterRetryInterval = 200 * time.Millisecond
	// deregisterTimeout bounds how long an instance that closes waits for its lease to be released.
	deregisterTimeout = 500 * time.Millisecond
)

// InstanceOptions configure an instance.
type InstanceOptions struct {
	Name   string   // unique in the installation
	Voters []string // their addresses
	// Listen and Dir are those of this instance's voter. An empty Dir means that it has none.
	Listen, Dir string
	Files       mtls.Files
	LeaseTTL    time.Duration // the TTL of its registration
	Log         *slog.Logger
}

// Instance is a process that belongs to the cluster: it is registered by a lease, and runs a voter where
// it has a directory for one.
type Instance struct {
	*Client
	incarnation  string
	registration *HeldLease
	stop         context.CancelFunc
	running      sync.WaitGroup

	mu    sync.Mutex
	voter *Voter // nil where there is none, or not yet
}

// OpenInstance starts an instance. It waits neither for the cluster nor for another process that has the voter's
// directory: the voter starts once that one has ended.
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

// openVoter starts the voter, in the background where another process still has its files.
func (i *Instance) openVoter(ctx context.Context, opt Options) error {
	v, err := Start(opt)
	if errors.Is(err, ErrBusy) {
		opt.Log.Info("voter waits for another process", "dir", opt.Dir, "listen", opt.Listen, "err", err)
		i.running.Go(func() { i.awaitVoter(ctx, opt) })
		return nil
	}
	i.voter = v // no other goroutine has the instance yet
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

// RegisteredUntil returns this instance's incarnation, and until when the cluster has it registered if no renewal
// succeeds from now on. That is in the past while it is not registered.
func (i *Instance) RegisteredUntil() (incarnation string, until time.Time) {
	return i.incarnation, i.registration.Deadline()
}

// Instances returns the instances that are registered, ordered by name.
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
