package consensus

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"syscall"
	"time"

	"jasperpin/internal/mtls"
)

// ErrBusy says that another process of this voter has its log or its address.
var ErrBusy = errors.New("another process of this voter still runs")

const (
	// instances are the leases by which instances are there.
	instances = "instance/"
	// busyPause is between two tries to start a voter whose process before still runs.
	busyPause = 200 * time.Millisecond
	// leaveWithin bounds how long an instance that ends takes leave.
	leaveWithin = 500 * time.Millisecond
)

// InstanceOptions are what an instance is made of.
type InstanceOptions struct {
	Name   string // no other instance of the installation has it
	Voters []string
	// Listen and Folder are a voter's.
	Listen, Folder string
	Files          mtls.Files
	Lease          time.Duration // how long it is there while it says nothing
	Log            *slog.Logger
}

// Instance is a process that belongs to a group: it is there by a lease, and is a voter too
// where it has a folder.
type Instance struct {
	*Client
	life string
	held *Held
	stop context.CancelFunc
	mu   sync.Mutex
	vote *Voter
	wait sync.WaitGroup
}

// Open brings an instance into its group. It waits for nobody: neither for the group nor
// for the process before, which may have the voter's folder.
func Open(opt InstanceOptions) (*Instance, error) {
	c, err := NewClient(opt.Voters, opt.Files)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &Instance{Client: c, stop: stop}
	if opt.Folder != "" {
		set := Options{Listen: opt.Listen, Dir: opt.Folder, Files: opt.Files, Log: opt.Log}
		switch v, err := Start(set); {
		case err == nil:
			i.vote = v
		case errors.Is(err, ErrBusy):
			opt.Log.Info("the voter waits for the process before", "err", err)
			i.wait.Go(func() { i.begin(ctx, set) })
		default:
			stop()
			c.Close()
			return nil, err
		}
	}
	i.life = rand.Text()
	i.held = c.Hold(instances+opt.Name, opt.Name+"/"+i.life, opt.Lease)
	return i, nil
}

// begin starts the voter once the process before has ended.
func (i *Instance) begin(ctx context.Context, set Options) {
	t := time.NewTicker(busyPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v, err := Start(set)
		if errors.Is(err, ErrBusy) {
			continue
		}
		if err != nil {
			set.Log.Error("the voter does not start", "err", err)
			return
		}
		i.mu.Lock()
		i.vote = v
		i.mu.Unlock()
		return
	}
}

// Close takes leave of the group.
func (i *Instance) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	i.held.Release(ctx)
	i.stop()
	i.wait.Wait()
	if i.vote != nil {
		i.vote.Close()
	}
	i.Client.Close()
}

// Here is this instance's life, and until when the group takes it for there, whatever becomes of its
// words from now on. It is in the past where it is not there.
func (i *Instance) Here() (life string, until time.Time) {
	return i.life, i.held.Until()
}

// Presence is an instance that is there: its life, which is another with each start, and
// the fencing number of its lease.
type Presence struct {
	Name  string `json:"Name"`
	Life  string `json:"Life"`
	Fence uint64 `json:"Fence"`
}

// Instances are those that are there, by their names.
func (c *Client) Instances(ctx context.Context) ([]Presence, error) {
	under := instances
	v, err := c.Read(ctx, Ask{Leases: &under})
	if err != nil {
		return nil, fmt.Errorf("the instances: %w", err)
	}
	var all []Presence
	for _, l := range v.Leases {
		name := strings.TrimPrefix(l.Name, instances)
		all = append(all, Presence{name, strings.TrimPrefix(l.Holder, name+"/"), l.Fence})
	}
	return all, nil
}

// busy says whether an address or a file is in use.
func busy(err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return err
}
