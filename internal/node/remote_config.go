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

// maxReportedErrors bounds the configuration errors of a version that are reported one by one, since one of
// many records can hold as many.
const maxReportedErrors = 16

var (
	errNoVersion     = errors.New("no configuration yet: no relay has sent one, and there is no copy on disk")
	errUpdatesClosed = errors.New("this process takes no more versions of the configuration")
)

// remoteConfig follows the relays for the pools and services of a node that are not in its file. Its
// source runs goroutines of its own; what they receive is put in force by the goroutine of Run, to
// which they send it. A nil remoteConfig is that of a node whose file has pools and services.
type remoteConfig struct {
	node     *Node
	assembly *config.Assembly
	source   *configsync.Source
	updates  chan configUpdate
	stopped  chan struct{} // closed once no more versions are put in force
	stopOnce sync.Once

	version  atomic.Uint64 // in force; 0 before the first
	rejected atomic.Int64  // records that are not in force as they were last written

	// These belong to the goroutine of Run.
	pools, watched  int  // in force, and those of them that watch a discovery
	acceptWhenReady bool // clients are to be accepted with the first version
}

// configUpdate is a version to be put in force by the goroutine of Run, which sends the result to
// done.
type configUpdate struct {
	apply func() error
	done  chan error // has room for the result
}

// followRemoteConfig puts the configuration's copy on disk in force, and follows the relays from then
// on. It runs before Run, and does Run's part until the copy is in force.
func (n *Node) followRemoteConfig() error {
	if !n.cfg.Remote.Enabled() {
		return nil
	}
	r := &remoteConfig{
		node: n, assembly: config.NewAssembly(n.cfg.NodeIndex, n.cfg.NodeCount),
		updates: make(chan configUpdate), stopped: make(chan struct{}),
	}
	n.remote = r
	started := make(chan error, 1)
	go func() { // ends when the copy is in force, which the loop below does and waits for
		var err error
		r.source, err = configsync.NewSource(r.sourceOptions())
		started <- err
	}()
	for {
		select {
		case u := <-r.updates: // the copy
			u.done <- u.apply()
		case err := <-started:
			if err != nil {
				return fmt.Errorf("following the relays for the configuration: %w", err)
			}
			if r.ready() != nil {
				n.log.Info("waiting for the first configuration")
			}
			return nil
		}
	}
}

// sourceOptions say which relays to follow, and what to do with what they send.
func (r *remoteConfig) sourceOptions() configsync.SourceOptions {
	n, c := r.node, r.node.cfg.Remote
	options := configsync.SourceOptions{
		Name: n.cfg.Name, Zone: c.Zone, Region: c.Region, Files: c.Files, Dir: c.Directory, Seed: n.cfg.Seed, Log: n.log,
		Install: r.install, Apply: r.change,
	}
	for _, relay := range c.Relays {
		options.Relays = append(options.Relays, configsync.RelayAddress{
			Peer: configlog.Peer{Name: relay.Name, Zone: relay.Zone, Region: relay.Region}, Addr: relay.Address,
		})
	}
	return options
}

// install puts a whole configuration in force: the copy on disk, or a relay's.
func (r *remoteConfig) install(s configlog.Snapshot) error {
	if s.Version() == 0 {
		return nil // there is no copy
	}
	return r.submit(s.Version(), s.Len(), func() (config.Errors, error) { return r.assembly.Replace(s.WithPrefix(""), r.use) })
}

// change puts a change in force.
func (r *remoteConfig) change(c configlog.Change) error {
	return r.submit(c.Version, len(c.Records), func() (config.Errors, error) { return r.assembly.Update(c, r.use) })
}

// submit has the goroutine of Run put a version in force, and waits for the result.
func (r *remoteConfig) submit(version uint64, records int, assemble func() (config.Errors, error)) error {
	u := configUpdate{func() error { return r.apply(version, records, assemble) }, make(chan error, 1)}
	select {
	case r.updates <- u:
		return <-u.done
	case <-r.stopped:
		return errUpdatesClosed
	}
}

// pendingUpdates are the versions to be put in force.
func (r *remoteConfig) pendingUpdates() <-chan configUpdate {
	if r == nil {
		return nil
	}
	return r.updates
}

// apply puts a version in force, as far as its records are without configuration errors, which it returns.
func (r *remoteConfig) apply(version uint64, records int, assemble func() (config.Errors, error)) error {
	began := time.Now()
	configErrors, err := assemble()
	r.rejected.Store(int64(r.assembly.Rejected()))
	if err != nil {
		return err
	}
	r.version.Store(version)
	r.node.log.Info("configuration in force", "version", version, "records", records, "refused", r.assembly.Rejected(),
		"duration", time.Since(began).Round(time.Microsecond).String())
	if r.acceptWhenReady {
		r.acceptWhenReady = false
		r.node.acceptClients()
	}
	if len(configErrors) > maxReportedErrors {
		return fmt.Errorf("%w\nand %d more", configErrors[:maxReportedErrors], len(configErrors)-maxReportedErrors)
	}
	if len(configErrors) > 0 {
		return configErrors
	}
	return nil
}

// retryRejected tries again what could not be put in force, after the node's own file has changed.
func (r *remoteConfig) retryRejected() {
	if r == nil || r.assembly.Rejected() == 0 {
		return
	}
	if _, err := r.assembly.Update(configlog.Change{}, r.use); err != nil {
		r.node.log.Warn("a part of the configuration is still not in force", "err", err)
	}
	r.rejected.Store(int64(r.assembly.Rejected()))
}

// use puts what differs in force, where the limits have room for it.
func (r *remoteConfig) use(d config.Changes) error {
	next := *r.node.cfg
	if err := reserveConnections(&next, d.PoolCount, d.WatchedPools); err != nil {
		return err
	}
	if err := r.node.services.Change(d); err != nil {
		return err
	}
	r.pools, r.watched = d.PoolCount, d.WatchedPools
	if next.Limits != r.node.cfg.Limits {
		r.node.cfg = &next
		r.node.setProcesses(r.node.processes)
	}
	return nil
}

// ready returns errNoVersion where there is no configuration to serve clients by.
func (r *remoteConfig) ready() error {
	if r == nil || r.version.Load() > 0 {
		return nil
	}
	return errNoVersion
}

// writeMetrics writes the version in force, the records rejected, whether the node is in sync with a
// relay that is in sync with the voters, and the time since what it has was certainly the newest, if known.
func (r *remoteConfig) writeMetrics(w *bytes.Buffer) {
	if r == nil {
		return
	}
	status := r.source.Status()
	inSync := 0
	if status.InSync {
		inSync = 1
	}
	fmt.Fprintf(w, "config_version=%d\nconfig_refused=%d\nconfig_level=%d\n", r.version.Load(), r.rejected.Load(), inSync)
	if status.Age >= 0 {
		fmt.Fprintf(w, "config_age_ms=%d\n", status.Age.Milliseconds())
	}
}

// stopUpdates puts no more versions in force.
func (r *remoteConfig) stopUpdates() {
	if r != nil {
		r.stopOnce.Do(func() { close(r.stopped) })
	}
}

func (r *remoteConfig) close() {
	if r == nil {
		return
	}
	r.stopUpdates()
	if r.source != nil {
		r.source.Close()
	}
}
