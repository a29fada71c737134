package node

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"jasperpin/internal/config"
)

// reload reads the configuration anew and puts it in force, or leaves the old one.
func (n *Node) reload() {
	next, waiting, err := n.source.Reload(n.cfg)
	if err == nil {
		err = n.applyReload(next)
	}
	if err != nil {
		n.metrics.ConfigsInvalid.Add(1)
		n.log.Error("reload failed, the old configuration stays", "err", err)
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
	if len(waiting) > 0 {
		n.log.Warn("changes that wait for a restart", "fields", waiting)
	}
}

// applyReload puts a configuration that has been read in force. With an error nothing has changed.
func (n *Node) applyReload(next *config.Config) error {
	if err := fitLimits(next, n.log); err != nil {
		return err
	}
	if n.remote != nil {
		if err := reserveConnections(next, n.remote.pools, n.remote.watched); err != nil {
			return err
		}
	}
	return n.apply(next)
}

// apply puts a configuration in force in the parts of the node's role.
func (n *Node) apply(cfg *config.Config) error {
	if n.planner != nil {
		n.planner.apply(cfg)
		return nil
	}
	put := n.services.Apply
	if n.remote != nil {
		put = n.services.ApplyNodeSettings // pools and services are not in the file
	}
	if err := put(cfg); err != nil {
		return err
	}
	if n.plannerClients != nil {
		n.plannerClients.setPlanners(cfg.Planning.Planners)
	}
	return nil
}

// keepUntilRestart is the rule of what a reload of the operator's file applies: pools, services,
// routes, limits, planners' addresses and what else is not listed here. The fields listed are in use
// by sockets, files or connections that are opened once, at the start; keepUntilRestart sets them in
// next as they were and returns the names of those that differed.
//
// A change of the role, or between a file with pools and services and one with [config], is an
// error: every part of the node would be another.
func keepUntilRestart(was, next *config.Config) (waiting []string, err error) {
	if was.Role != next.Role {
		return nil, fmt.Errorf("node.role is %s and was %s: a node changes its role by a restart", next.Role, was.Role)
	}
	if was.Remote.Enabled() != next.Remote.Enabled() {
		return nil, errors.New("[config] comes or goes: a node learns where its pools and services are by a restart")
	}
	oldPlanning, planning := &was.Planning, &next.Planning
	for _, field := range []struct {
		name string
		same bool
		keep func()
	}{
		{"node.listen", slices.Equal(was.Listen, next.Listen), func() { next.Listen = was.Listen }},
		{"node.control and private", was.AdminAddress == next.AdminAddress && was.PrivateDirectory == next.PrivateDirectory, func() {
			next.AdminAddress, next.PrivateDirectory = was.AdminAddress, was.PrivateDirectory
		}},
		{"cluster", reflect.DeepEqual(was.Cluster, next.Cluster), func() { next.Cluster = was.Cluster }},
		{"members", reflect.DeepEqual(was.Members, next.Members), func() { next.Members = was.Members }},
		{"config", reflect.DeepEqual(was.Remote, next.Remote), func() { next.Remote = was.Remote }},
		// Each pool from the relays was set up with these.
		{"node.number and nodes", !was.Remote.Enabled() || was.NodeIndex == next.NodeIndex && was.NodeCount == next.NodeCount, func() {
			next.NodeIndex, next.NodeCount = was.NodeIndex, was.NodeCount
		}},
		{"keys.durable", was.Keys.File == next.Keys.File, func() { next.Keys.File = was.Keys.File }},
		{"planning.listen", slices.Equal(oldPlanning.Listen, planning.Listen), func() { planning.Listen = oldPlanning.Listen }},
		{"planning.certificate, key and authorities", oldPlanning.Files == planning.Files, func() { planning.Files = oldPlanning.Files }},
	} {
		if !field.same {
			field.keep()
			waiting = append(waiting, field.name)
		}
	}
	return waiting, nil
}
