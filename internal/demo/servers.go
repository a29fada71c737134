package demo

import (
	"fmt"
	"io"
	"time"

	"jasperpin/internal/emulator"
)

// services are the names of the services. The pool of each service has len(speeds) servers.
var services = []string{"orders", "stock"}

// speeds are the speeds of the servers of a pool, relative to a standard server.
var speeds = []float64{1.3, 1, 0.9, 0.7}

// servers are the emulated servers, those of orders first, and the discovery server that lists those of orders.
type servers struct {
	all       []*emulator.Server
	discovery *emulator.Discovery
	closers   []io.Closer
}

// startServers starts all servers and discovery.
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
		_ = c.Close() // the demo has ended
	}
}

// stockAddresses returns the quoted addresses of the servers of stock, which discovery does not list.
func (s *servers) stockAddresses() (addresses []string) {
	for _, server := range s.all[len(speeds):] {
		addresses = append(addresses, fmt.Sprintf("%q", server.Addr))
	}
	return addresses
}

// fault is a change of the behavior of some servers, at a time since the start of the demo.
type fault struct {
	at    time.Duration
	begin func()
}

// faults returns the faults of a demo of the given duration.
func (s *servers) faults(duration time.Duration) []fault {
	return []fault{
		{duration / 2, func() {
			s.all[0].SetMode(emulator.Silent)
			s.all[len(speeds)].SetMode(emulator.Silent)
		}},
		{duration * 3 / 4, func() { s.all[len(s.all)-1].SetMode(emulator.Failing) }},
	}
}

// attempts returns the number of attempts that the servers received, by service and class.
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
