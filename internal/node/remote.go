package node

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
	"jasperpin/internal/configsync"
)

// remote is where a node's pools and services come from that are not in its file. The node's own
// goroutine puts them in force; nil is that of a node whose file has them.
type remote struct {
	node     *Node
	assembly *config.Assembly
	source   *configsync.Source
	puts     chan put
	ended    chan struct{} // closed as the node takes no more
	once     sync.Once

	version atomic.Uint64 // in force; 0 before the first
	refused atomic.Int64  // records that are not in force as they were last written

	pools, watched int  // as limits have room for them
	accept         bool // clients are to be taken with the first version
}

// put is a version to be put in force by the node's own goroutine.
type put struct {
	put  func() error
	done chan error
}

// maxTold is how many mistakes of a version are told one by one.
const maxTold = 16

var (
	errNoVersion = errors.New("no configuration yet: no relay has told one, and no copy is kept")
	errEnded     = errors.New("this process takes no more versions")
)

// follow puts the copy of the configuration in force, and then each change as it comes.
func (n *Node) follow() error {
	c := n.cfg.Remote
	if !c.On() {
		return nil
	}
	r := &remote{node: n, assembly: config.NewAssembly(n.cfg.Number, n.cfg.Nodes), puts: make(chan put), ended: make(chan struct{})}
	opt := configsync.SourceOptions{
		Name: n.cfg.Name, Zone: c.Zone, Region: c.Region, Files: c.Files, Folder: c.Folder, Seed: n.cfg.Seed, Log: n.log,
		Install: func(s configlog.Snapshot) error {
			if s.Version() == 0 {
				return nil // there is no copy
			}
			return r.hand(s.Version(), s.Len(), func() (config.Mistakes, error) { return r.assembly.Replace(s.Under(""), r.use) })
		},
		Change: func(c configlog.Change) error {
			return r.hand(c.Version, len(c.Records), func() (config.Mistakes, error) { return r.assembly.Update(c, r.use) })
		},
	}
	for _, x := range c.Relays {
		opt.Relays = append(opt.Relays, configsync.RelayAt{Peer: configlog.Peer{Name: x.Name, Zone: x.Zone, Region: x.Region}, Addr: x.Address})
	}
	n.remote = r
	made := make(chan error, 1)
	go func() {
		var err error
		r.source, err = configsync.NewSource(opt)
		made <- err
	}()
	for {
		select {
		case p := <-r.puts: // the copy
			p.done <- p.put()
		case err := <-made:
			if err != nil {
				return fmt.Errorf("the configuration: %w", err)
			}
			if r.ready() != nil {
				n.log.Info("waiting for the first configuration")
			}
			return nil
		}
	}
}

// hand has the node's own goroutine put a version in force, and waits for it.
func (r *remote) hand(version uint64, records int, update func() (config.Mistakes, error)) error {
	p := put{func() error { return r.put(version, records, update) }, make(chan error, 1)}
	select {
	case r.puts <- p:
		return <-p.done
	case <-r.ended:
		return errEnded
	}
}

// news are the versions to be put in force.
func (r *remote) news() <-chan put {
	if r == nil {
		return nil
	}
	return r.puts
}

// put puts a version in force, as far as it can be.
func (r *remote) put(version uint64, records int, update func() (config.Mistakes, error)) error {
	began := time.Now()
	wrong, err := update()
	r.refused.Store(int64(r.assembly.Refused()))
	if err != nil {
		return err
	}
	r.version.Store(version)
	r.node.log.Info("configuration in force", "version", version, "records", records, "refused", r.assembly.Refused(), "took", time.Since(began).Round(time.Microsecond).String())
	if r.accept {
		r.accept = false
		r.node.accept()
	}
	if len(wrong) > maxTold {
		return fmt.Errorf("%w\nand %d more", wrong[:maxTold], len(wrong)-maxTold)
	}
	if len(wrong) > 0 {
		return wrong
	}
	return nil
}

// again tries what could not be used, after the node's own file has changed.
func (r *remote) again() {
	if r == nil || r.assembly.Refused() == 0 {
		return
	}
	if _, err := r.assembly.Update(configlog.Change{}, r.use); err != nil {
		r.node.log.Warn("a part of the configuration is still not in force", "err", err)
	}
	r.refused.Store(int64(r.assembly.Refused()))
}

// use puts what differs in force, where the limits have room for it.
func (r *remote) use(d config.Delta) error {
	next := *r.node.cfg
	if err := links(&next, d.Count, d.Watched); err != nil {
		return err
	}
	if err := r.node.set.Change(d); err != nil {
		return err
	}
	r.pools, r.watched = d.Count, d.Watched
	if next.Limits != r.node.cfg.Limits {
		r.node.cfg = &next
		r.node.part(r.node.share)
	}
	return nil
}

// ready says why there is nothing to serve clients by.
func (r *remote) ready() error {
	if r == nil || r.version.Load() > 0 {
		return nil
	}
	return errNoVersion
}

// figures writes how things stand: whether the node is level with a relay that is level itself, and how long ago
// what it has was certainly the newest, where that is known. All are numbers, as the door's readers want them.
func (r *remote) figures(w *bytes.Buffer) {
	if r == nil {
		return
	}
	is := r.source.Status()
	level := 0
	if is.Level {
		level = 1
	}
	fmt.Fprintf(w, "config_version=%d\nconfig_refused=%d\nconfig_level=%d\n", r.version.Load(), r.refused.Load(), level)
	if is.Age >= 0 {
		fmt.Fprintf(w, "config_age_ms=%d\n", is.Age.Milliseconds())
	}
}

// end takes no more versions; close ends what follows them too.
func (r *remote) end() {
	if r != nil {
		r.once.Do(func() { close(r.ended) })
	}
}

func (r *remote) close() {
	if r == nil {
		return
	}
	r.end()
	if r.source != nil {
		r.source.Close()
	}
}
