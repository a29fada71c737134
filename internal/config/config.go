// Package config reads the operator's configuration file: the node, its limits, its services with their
// routes, and the pools to which the routes lead. It reports all errors of a file at once, each with its
// line and the expected value.
//
// The same tables may instead be records of a configuration that a cluster has agreed on: Records splits
// a file into records, and an Assembly builds services and pools from them, record by record.
//
// Parse converts text to a Config in three layers. A document is a section of the file that is decoded
// separately. A table reads values by key, validates each, and collects errors with their lines. The
// functions whose names begin with "read", one for each section, convert a table to a part of the Config.
package config

import (
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// Config is a node's configuration.
type Config struct {
	Name   string   // the node's name; unique among all nodes
	Listen []string // addresses with ports for clients; port 0 stands for any free port
	// InheritedDescriptor is a file descriptor that already listens on the first address of Listen and
	// is left open by the process that starts the node; 0 if the node opens the listener itself.
	InheritedDescriptor int
	// AdminAddress is the address of the admin server: an address and port, or "unix:" and a path; ""
	// for none.
	AdminAddress string
	// PrivateDirectory is a directory used only by this node's processes, in which a new process finds the
	// running one for a hot restart; "" for none.
	PrivateDirectory string
	Seed             uint64 // seed of the random numbers
	// NodeIndex is this node's number, from 0, among NodeCount nodes that use the same servers.
	NodeIndex, NodeCount int
	Limits               limit.Machine
	// PoolsShareLimits reports whether the pools divide the limits among them. A node whose only pool uses
	// all limits needs no budgets.
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

// Role is a node's role in its tier. Its values are those of the file.
type Role string

// The roles.
const (
	// Standalone nodes choose servers by themselves.
	Standalone Role = "node"
	// Forwarder nodes ask planners for servers first.
	Forwarder Role = "forwarder"
	// Planner nodes serve only forwarders, no clients.
	Planner Role = "planner"
)

// Table builds the route table. Its error joins a *route.RuleError for each invalid rule.
func (c *Config) Table() (*route.Table, error) {
	rules := make([][]route.Rule, len(c.Services))
	for i := range c.Services {
		rules[i] = c.Services[i].Routes
	}
	return route.New(rules...)
}
