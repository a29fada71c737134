package discovery

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// Values of a server's health on the wire.
const (
	healthInService  = "in_service"
	healthTerminated = "terminated"
)

// maxStartMS is the latest valid start time, in ms of Unix time: about 30,000 years from now.
const maxStartMS = 1e15

// unknownZone is the number of a zone that the node does not know: greater than the number of any configured zone.
const unknownZone = math.MaxUint8 + 1

// Zones maps the names of zones to their numbers.
type Zones map[string]int

// number returns a zone's number, or unknownZone: servers of an unknown zone are treated like those of any other
// zone.
func (z Zones) number(name string) int {
	if i, ok := z[name]; ok {
		return i
	}
	return unknownZone
}

// wireEndpoint is one server in discovery's format. All fields have tags, including those whose names differ only
// in case: decoding exact names costs a fifth less.
type wireEndpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"` // address and port
	Site   string  `json:"site"` // the zone
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"` // Unix time, in ms; 0 if unknown
}

// validate returns an error that describes the first invalid field of a server.
func (e *wireEndpoint) validate() error {
	if e.Host == "" {
		return errors.New("entry without host")
	}
	if e.state() != decide.Gone {
		if _, err := netip.ParseAddrPort(e.Dial); err != nil {
			return fmt.Errorf("host %q: dial %q is not an address and port", e.Host, e.Dial)
		}
	}
	if e.BornMS < 0 || e.BornMS > maxStartMS {
		return fmt.Errorf("host %q: born_ms %v is not a valid time", e.Host, e.BornMS)
	}
	return nil
}

// endpoint converts the server to the form that the other packages use.
func (e *wireEndpoint) endpoint(zones Zones) core.Endpoint {
	return core.Endpoint{
		Name: e.Host, Addr: e.Dial, Zone: zones.number(e.Site), Cell: e.Block,
		State: e.state(), Capacity: e.Share, StartedAtMS: e.BornMS,
	}
}

// state returns the server state for the health. An unknown value counts as draining: the server gets no new
// requests, and may complete those it has.
func (e *wireEndpoint) state() decide.ServerState {
	switch e.Health {
	case healthInService:
		return decide.Ready
	case healthTerminated:
		return decide.Gone
	}
	return decide.Draining
}
