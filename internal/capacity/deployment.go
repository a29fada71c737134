package capacity

import (
	"io"

	"jasperpin/internal/emulator/testbed"
)

// Deployment is the scale of a deployment, and the resources that a node may use for control.
type Deployment struct {
	Nodes, Servers, Services int
	Routes, Tenants          int
	RequestRate              float64 // requests a second over all nodes, at the peak
	ConfigChanges            float64 // changes of the configuration a day
	Restarts                 float64 // restarts of nodes a day
	Machines                 int     // machines for control only
	// Limits of what a node may use for control.
	CoreShare float64 // share of a core
	MemoryMB  float64
	ByteRate  float64 // bytes a second
	AddedMS   float64 // latency that it may add to requests, at the 99th percentile
}

// Stated is the size that operators expect in two years.
var Stated = Deployment{
	Nodes: 2_600, Servers: 27_000, Services: 1_300, Routes: 37_000, Tenants: 140_000,
	RequestRate: 270_000, ConfigChanges: 2_500, Restarts: 1_700, Machines: 15,
	CoreShare: 0.021, MemoryMB: 64, ByteRate: 6_000, AddedMS: 5.3,
}

// serversPerPool returns the number of servers in a service's pool.
func (d Deployment) serversPerPool() float64 { return share(d.Servers, d.Services) }

// corePercent returns the share of a core that a node may use, in percent.
func (d Deployment) corePercent() float64 { return 100 * d.CoreShare }

// share returns an even share of a number, at least one.
func share(all, of int) float64 { return max(1, float64(all)/float64(max(1, of))) }

// Options are the options of a trial.
type Options struct {
	Deployment
	Small bool   // small sizes, which only show that a trial works; all trials take a few seconds then
	Dir   string // existing directory for files and logs
	// StartNode starts a node of the program with its configuration file.
	StartNode func(dir, name, file string) (*testbed.Process, error)
	Log       io.Writer // progress messages
}

// sizes returns the sizes of a trial, or the small ones for a small run.
func (o Options) sizes(small []int, all ...int) []int {
	if o.Small {
		return small
	}
	return all
}
