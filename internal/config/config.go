// Package config reads the operator's file: the node, its limits, its services with their routes, and
// the pools behind them. It reports all mistakes of a file at once, each with its line and with what
// was expected.
//
// The same tables may come as records of an agreed configuration instead: Records splits a file into
// records, and an Assembly makes services and pools of them, record by record.
//
// Parse goes from text to a Config in three layers. A document is a stretch of the file that is
// decoded by itself. A table reads values by key, checks each, and collects mistakes with their
// lines. The readX functions, one a section, turn a table into a part of the Config.
package config

import (
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// Config is a node's configuration.
type Config struct {
	Name   string   // different from that of all other nodes
	Listen []string // addresses with ports for clients; port 0 stands for any free one
	// InheritedDescriptor is a descriptor that listens at the first address of Listen already, held open by
	// what starts the processes; 0 where the node opens it itself.
	InheritedDescriptor int
	// AdminAddress is the address of the admin server: an address and port, or "unix:" and a path; ""
	// for none.
	AdminAddress string
	// PrivateDirectory is a directory of this node's processes alone, where a new version finds the running
	// one; "" for none.
	PrivateDirectory string
	Seed             uint64 // of random numbers
	// NodeIndex is this node's number, from 0, among NodeCount nodes that serve the same servers.
	NodeIndex, NodeCount int
	Limits               limit.Machine
	// PoolsShareLimits says that pools share the limits out. A node with one pool that has them all to itself
	// needs no budgets.
	PoolsShareLimits bool
	Keys             IdempotencyKeys
	Services         []Service
	Pools            []Pool
	Role             Role
	Planning         Planning
	Cluster          Cluster
	Members          Members
	Remote           Remote
}

// Role is a node's role in its tier, as the file names it.
type Role string

// The roles.
const (
	// Standalone nodes choose servers by themselves.
	Standalone Role = "node"
	// Forwarder nodes ask planners first.
	Forwarder Role = "forwarder"
	// Planner nodes serve forwarders alone.
	Planner Role = "planner"
)

// Table builds the route table. Its error joins a *route.RuleError for every rule that cannot be used.
func (c *Config) Table() (*route.Table, error) {
	rules := make([][]route.Rule, len(c.Services))
	for i := range c.Services {
		rules[i] = c.Services[i].Routes
	}
	return route.New(rules...)
}
