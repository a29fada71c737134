package node

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"jasperpin/internal/config"
)

// reload loads the configuration again and applies it. On an error the current configuration stays.
func (n *Node) reload() {
	next, needRestart, err := n.source.Reload(n.cfg)
	if err == nil {
		err = n.applyReload(next)
	}
	if err != nil {
		n.metrics.ConfigsInvalid.Add(1)
		n.log.Error("reload failed; the current configuration stays", "err", err)
		return
	}
	previous := n.cfg.Limits
	n.cfg = next
	if next.Limits != previous || n.processes.Count > 1 {
		n.setProcesses(n.processes)
	}
	n.remote.retryRejected()
	n.metrics.ConfigsAccepted.Add(1)
	n.log.Info("reloaded", "services", len(next.Services), "pools", len(next.Pools))
	if len(needRestart) > 0 {
		n.log.Warn("some changes require a restart", "fields", needRestart)
	}
}

// applyReload applies a configuration that has been loaded. On an error nothing has changed.
func (n *Node) applyReload(next *config.Config) error {
	if err := fitLimits(next, n.log); err != nil {
		return err
	}
	if n.remote != nil {
		if err := reserveConnections(next, n.remote.poolCount, n.remote.watchedPools); err != nil {
			return err
		}
	}
	return n.apply(next)
}

// apply applies a configuration to the parts that the node's role has.
func (n *Node) apply(cfg *config.Config) error {
	if n.planner != nil {
		n.planner.apply(cfg)
		return nil
	}
	applyServices := n.services.Apply
	if n.remote != nil {
		applyServices = n.services.ApplyNodeSettings // pools and services are not in the file
	}
	if err := applyServices(cfg); err != nil {
		return err
	}
	if n.plannerClients != nil {
		n.plannerClients.setPlanners(cfg.Planning.Planners)
	}
	return nil
}

// keepUntilRestart implements the rule for a reload of the operator's file: pools, services, routes,
// limits, planners' addresses and everything else that is not listed here are applied. The listed
// fields are used by sockets, files or connections that are opened once, at startup.
// keepUntilRestart sets the listed fields of next to their current values, and returns the names of the fields
// that differed.
//
// A change of the role, or between a file with pools and services and a file with [config], is an
// error, because every part of the node would have to be replaced.
func keepUntilRestart(current, next *config.Config) (needRestart []string, err error) {
	if current.Role != next.Role {
		return nil, fmt.Errorf("node.role is %s and was %s: changing the role requires a restart", next.Role, current.Role)
	}
	if current.Remote.Enabled() != next.Remote.Enabled() {
		return nil, errors.New("[config] was added or removed: changing the source of pools and services requires a restart")
	}
	currentPlanning, planning := &current.Planning, &next.Planning
	for _, field := range []struct {
		name string
		same bool
		keep func()
	}{
		{"node.listen", slices.Equal(current.Listen, next.Listen), func() { next.Listen = current.Listen }},
		{"node.control and private", current.AdminAddress == next.AdminAddress && current.PrivateDirectory == next.PrivateDirectory, func() {
			next.AdminAddress, next.PrivateDirectory = current.AdminAddress, current.PrivateDirectory
		}},
		{"cluster", reflect.DeepEqual(current.Cluster, next.Cluster), func() { next.Cluster = current.Cluster }},
		{"members", reflect.DeepEqual(current.Members, next.Members), func() { next.Members = current.Members }},
		{"config", reflect.DeepEqual(current.Remote, next.Remote), func() { next.Remote = current.Remote }},
		// Each pool from the relays was created with the current node index and node count.
		{"node.number and nodes", !current.Remote.Enabled() || current.NodeIndex == next.NodeIndex && current.NodeCount == next.NodeCount, func() {
			next.NodeIndex, next.NodeCount = current.NodeIndex, current.NodeCount
		}},
		{"keys.durable", current.Keys.File == next.Keys.File, func() { next.Keys.File = current.Keys.File }},
		{"planning.listen", slices.Equal(currentPlanning.Listen, planning.Listen), func() { planning.Listen = currentPlanning.Listen }},
		{"planning.certificate, key and authorities", currentPlanning.Files == planning.Files, func() { planning.Files = currentPlanning.Files }},
	} {
		if !field.same {
			field.keep()
			needRestart = append(needRestart, field.name)
		}
	}
	return needRestart, nil
}
