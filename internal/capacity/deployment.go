package capacity

import (
	"io"

	"jasperpin/internal/emulator/testbed"
)

// Deployment is the size that has to be carried, and what a node may spend on it.
type Deployment struct {
	Nodes, Servers, Services int
	Routes, Tenants          int
	RequestRate              float64 // requests a second over all nodes, at the peak
	ConfigChanges            float64 // changes of the configuration a day
	Restarts                 float64 // restarts of nodes a day
	Machines                 int     // machines for control alone
	// What a node may spend on control.
	CoreShare float64 // share of a core
	MemoryMB  float64
	ByteRate  float64 // bytes a second
	AddedMS   float64 // what it may add to the latency of requests, at the 99th percentile
}

// Stated is the size that operators expect in two years.
var Stated = Deployment{
	Nodes: 2_600, Servers: 27_000, Services: 1_300, Routes: 37_000, Tenants: 140_000,
	RequestRate: 270_000, ConfigChanges: 2_500, Restarts: 1_700, Machines: 15,
	CoreShare: 0.021, MemoryMB: 64, ByteRate: 6_000, AddedMS: 5.3,
}

// serversPerPool is how many servers a service's pool has.
func (d Deployment) serversPerPool() float64 { return share(d.Servers, d.Services) }

// corePercent is the share of a core that a node may spend, in percent.
func (d Deployment) corePercent() float64 { return 100 * d.CoreShare }

// share is the part of a number for each of some, at least one.
func share(all, of int) float64 { return max(1, float64(all)/float64(max(1, of))) }

// Options say what trials have at hand.
type Options struct {
	Deployment
	Small bool   // sizes that show that a trial works and little else, a few seconds in all
	Dir   string // for files and logs; must exist
	// StartNode starts a node of the program with its configuration file.
	StartNode func(dir, name, file string) (*testbed.Process, error)
	Log       io.Writer // of progress
}

// sizes are those of a trial, or of a small run.
func (o Options) sizes(small []int, all ...int) []int {
	if o.Small {
		return small
	}
	return all
}
