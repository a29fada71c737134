package demo

import (
	"fmt"
	"io"
	"time"

	"jasperpin/internal/emulator"
)

// services are the names of the services, whose pools have as many servers each.
var services = []string{"orders", "stock"}

// speeds are those of a pool's servers, of which 1 is usual.
var speeds = []float64{1.3, 1, 0.9, 0.7}

// servers are the emulated servers, those of orders first, and the discovery that lists these.
type servers struct {
	all       []*emulator.Server
	discovery *emulator.Discovery
	closers   []io.Closer
}

// startServers starts all servers and the discovery.
func startServers() (s *servers, err error) {
	s = &servers{}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	for i := range len(services) * len(speeds) {
		server, err := emulator.NewServer(emulator.ServerSettings{Speed: speeds[i%len(speeds)], Cores: 2, Queue: 40, DedupWindow: 10 * time.Second, StopsOnCancel: i%2 == 0})
		if err != nil {
			return nil, err
		}
		s.all, s.closers = append(s.all, server), append(s.closers, server)
	}
	var listed []emulator.Entry
	for _, server := range s.all[:len(speeds)] {
		listed = append(listed, server.Entry())
	}
	if s.discovery, err = emulator.NewDiscovery(listed...); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, s.discovery)
	return s, nil
}

func (s *servers) close() {
	for _, c := range s.closers {
		_ = c.Close() // the demo is over
	}
}

// stockAddresses are the quoted addresses of the servers of stock, which no discovery lists.
func (s *servers) stockAddresses() (addresses []string) {
	for _, server := range s.all[len(speeds):] {
		addresses = append(addresses, fmt.Sprintf("%q", server.Addr))
	}
	return addresses
}

// fault is a change of some servers' behavior, so long after the beginning.
type fault struct {
	at    time.Duration
	begin func()
}

// faults are those of a demo of a duration.
func (s *servers) faults(duration time.Duration) []fault {
	return []fault{
		{duration / 2, func() {
			s.all[0].SetMode(emulator.Silent)
			s.all[len(speeds)].SetMode(emulator.Silent)
		}},
		{duration * 3 / 4, func() { s.all[len(s.all)-1].SetMode(emulator.Failing) }},
	}
}

// attempts counts the attempts that servers have got, by service and class.
func (s *servers) attempts() map[string]map[string]int {
	all := make(map[string]map[string]int)
	for i, server := range s.all {
		service := services[i/len(speeds)]
		if all[service] == nil {
			all[service] = make(map[string]int)
		}
		for class, n := range server.Counts().ByClass {
			all[service][class] += n
		}
	}
	return all
}
