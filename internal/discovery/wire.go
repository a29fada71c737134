package discovery

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// The health of a server, in discovery's words.
const (
	healthInService  = "in_service"
	healthTerminated = "terminated"
)

// maxStartMS is the latest start time that can be right, in ms of Unix time: some 30,000 years on.
const maxStartMS = 1e15

// unknownZone is the number of a zone that is not among the node's: past all that a configuration can name.
const unknownZone = math.MaxUint8 + 1

// Zones numbers zones by their names.
type Zones map[string]int

// number gives a zone's number, or unknownZone: such a zone's servers are served like any in another zone.
func (z Zones) number(name string) int {
	if i, ok := z[name]; ok {
		return i
	}
	return unknownZone
}

// wireEndpoint is one server in discovery's form. All names are tagged, also where case alone differs:
// decoding by the exact name costs a fifth less.
type wireEndpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"` // address and port
	Site   string  `json:"site"` // the zone
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"` // Unix time, in ms; 0 if unknown
}

// check says what is wrong with a server as it came.
func (e *wireEndpoint) check() error {
	if e.Host == "" {
		return errors.New("an entry without a host")
	}
	if e.state() != decide.Gone {
		if _, err := netip.ParseAddrPort(e.Dial); err != nil {
			return fmt.Errorf("host %q: dial %q is not an address and port", e.Host, e.Dial)
		}
	}
	if e.BornMS < 0 || e.BornMS > maxStartMS {
		return fmt.Errorf("host %q: born_ms %v is not a usable time", e.Host, e.BornMS)
	}
	return nil
}

// endpoint is the server as the rest of the program knows it.
func (e *wireEndpoint) endpoint(zones Zones) core.Endpoint {
	return core.Endpoint{
		Name: e.Host, Addr: e.Dial, Zone: zones.number(e.Site), Cell: e.Block,
		State: e.state(), Capacity: e.Share, StartedAtMS: e.BornMS,
	}
}

// state reads the health. A word that is not known stands for draining: nothing new goes there, and the
// server may finish what it has.
func (e *wireEndpoint) state() decide.ServerState {
	switch e.Health {
	case healthInService:
		return decide.Ready
	case healthTerminated:
		return decide.Gone
	}
	return decide.Draining
}
