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

// maxReportedErrors bounds the number of a version's configuration errors that are reported one by one,
// since a version of many records can have as many errors.
const maxReportedErrors = 16

var (
	errNoVersion     = errors.New("no configuration yet: no relay has sent one, and there is no copy on disk")
	errUpdatesClosed = errors.New("this process applies no more versions of the configuration")
)

// remoteConfig follows the relays for the pools and services of a node whose file does not define
// them. Its source runs goroutines of its own, which send each version to the goroutine of Run to be
// applied. It is nil at a node whose file defines pools and services.
type remoteConfig struct {
	node     *Node
	assembly *config.Assembly
	source   *configsync.Source
	updates  chan configUpdate
	stopped  chan struct{} // closed once no more versions are applied
	stopOnce sync.Once

	version  atomic.Uint64 // the applied version; 0 before the first
	rejected atomic.Int64  // records whose newest values are not applied

	// The goroutine of Run owns the fields below.
	poolCount, watchedPools int  // applied pools, and those of them that watch discovery
	acceptWhenReady         bool // accept clients once the first version is applied
}

// configUpdate is a version to be applied by the goroutine of Run, which sends the result to done.
type configUpdate struct {
	apply func() error
	done  chan error // has room for the result
}

// followRemoteConfig applies the copy of the configuration on disk, and then follows the relays. It is
// called before Run, and applies updates in its place until the copy is applied.
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
	go func() { // ends once the loop below has applied the copy
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

// sourceOptions returns the relays to follow, and the functions that apply what they send.
func (r *remoteConfig) sourceOptions() configsync.SourceOptions {
	n, c := r.node, r.node.cfg.Remote
	options := configsync.SourceOptions{
		Name: n.cfg.Name, Zone: c.Zone, Region: c.Region, Files: c.Files, Dir: c.Directory, Seed: n.cfg.Seed, Log: n.log,
		Install: r.applySnapshot, Apply: r.applyChange,
	}
	for _, relay := range c.Relays {
		options.Relays = append(options.Relays, configsync.RelayAddress{
			Peer: configlog.Peer{Name: relay.Name, Zone: relay.Zone, Region: relay.Region}, Addr: relay.Address,
		})
	}
	return options
}

// applySnapshot applies a complete configuration: the copy on disk, or a relay's.
func (r *remoteConfig) applySnapshot(s configlog.Snapshot) error {
	if s.Version() == 0 {
		return nil // there is no copy
	}
	return r.submit(s.Version(), s.Len(), func() (config.Errors, error) { return r.assembly.Replace(s.WithPrefix(""), r.applyToServices) })
}

// applyChange applies a change of the configuration.
func (r *remoteConfig) applyChange(c configlog.Change) error {
	return r.submit(c.Version, len(c.Records), func() (config.Errors, error) { return r.assembly.Update(c, r.applyToServices) })
}

// submit sends a version to the goroutine of Run to be applied, and waits for the result.
func (r *remoteConfig) submit(version uint64, records int, assemble func() (config.Errors, error)) error {
	u := configUpdate{func() error { return r.applyVersion(version, records, assemble) }, make(chan error, 1)}
	select {
	case r.updates <- u:
		return <-u.done
	case <-r.stopped:
		return errUpdatesClosed
	}
}

// pendingUpdates returns the channel of the versions to be applied, or nil for a nil remoteConfig.
func (r *remoteConfig) pendingUpdates() <-chan configUpdate {
	if r == nil {
		return nil
	}
	return r.updates
}

// applyVersion applies the records of a version that have no configuration errors, and returns the
// errors of the others.
func (r *remoteConfig) applyVersion(version uint64, records int, assemble func() (config.Errors, error)) error {
	began := time.Now()
	configErrors, err := assemble()
	r.rejected.Store(int64(r.assembly.Rejected()))
	if err != nil {
		return err
	}
	r.version.Store(version)
	r.node.log.Info("configuration applied", "version", version, "records", records, "refused", r.assembly.Rejected(),
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

// retryRejected tries again to apply the rejected records, after the node's own file has changed.
func (r *remoteConfig) retryRejected() {
	if r == nil || r.assembly.Rejected() == 0 {
		return
	}
	if _, err := r.assembly.Update(configlog.Change{}, r.applyToServices); err != nil {
		r.node.log.Warn("some configuration records are still rejected", "err", err)
	}
	r.rejected.Store(int64(r.assembly.Rejected()))
}

// applyToServices applies changes to the services, if the limits have room for them.
func (r *remoteConfig) applyToServices(changes config.Changes) error {
	next := *r.node.cfg
	if err := reserveConnections(&next, changes.PoolCount, changes.WatchedPools); err != nil {
		return err
	}
	if err := r.node.services.Change(changes); err != nil {
		return err
	}
	r.poolCount, r.watchedPools = changes.PoolCount, changes.WatchedPools
	if next.Limits != r.node.cfg.Limits {
		r.node.cfg = &next
		r.node.setProcesses(r.node.processes)
	}
	return nil
}

// ready returns errNoVersion until there is a configuration to serve clients with.
func (r *remoteConfig) ready() error {
	if r == nil || r.version.Load() > 0 {
		return nil
	}
	return errNoVersion
}

// writeMetrics writes the applied version, the number of rejected records, whether the node is in sync
// with a relay that is in sync with the voters, and, if known, the time since the node's configuration
// was certainly the newest.
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

// stopUpdates ensures that no more versions are applied.
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
