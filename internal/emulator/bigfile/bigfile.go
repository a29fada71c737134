// Package bigfile writes valid configuration files of any size, to measure how large a configuration a node can
// have.
package bigfile

import (
	"bufio"
	"fmt"
	"io"
)

// Size is the number of objects in a configuration file. Each service has its own pool; routes, tenants and servers
// are spread evenly over the services.
type Size struct {
	Services, Servers, Routes, Tenants int
}

// Full is the largest supported size.
var Full = Size{Services: 1_300, Servers: 27_000, Routes: 37_000, Tenants: 140_000}

// DividedBy returns 1/n of a size, to measure how cost grows with size.
func (s Size) DividedBy(n int) Size {
	return Size{Services: s.Services / n, Servers: s.Servers / n, Routes: s.Routes / n, Tenants: s.Tenants / n}
}

// Write writes the configuration file of a node that listens at the address listen.
func (s Size) Write(to io.Writer, listen string) error {
	w := bufio.NewWriter(to)
	fmt.Fprintf(w, "[node]\nname = \"edge-1\"\nlisten = [%q]\n", listen)
	for i := range s.Services {
		s.writeService(w, i)
	}
	for i := range s.Services {
		s.writePool(w, i)
	}
	return w.Flush()
}

// writeService writes the i-th service with its tenants and routes.
func (s Size) writeService(w io.Writer, i int) {
	fmt.Fprintf(w, "\n[[service]]\nname = \"service-%d\"\ntenant_header = \"Req-Owner\"\nconcurrent = 100\n", i)
	for k := i; k < s.Tenants; k += s.Services {
		fmt.Fprintf(w, "\n[[service.tenant]]\nname = \"tenant-%d\"\nrate = 100\n", k)
	}
	for k := i; k < s.Routes; k += s.Services {
		fmt.Fprintf(w, "\n[[service.route]]\nhosts = [\"service-%d.example.org\"]\npath = \"/part-%d\"\nas = \"look\"\npool = \"pool-%d\"\n", i, k, i)
	}
}

// writePool writes the i-th pool with its servers.
func (s Size) writePool(w io.Writer, i int) {
	fmt.Fprintf(w, "\n[[pool]]\nname = \"pool-%d\"\n", i)
	for k := i; k < s.Servers; k += s.Services {
		fmt.Fprintf(w, "\n[[pool.server]]\nname = \"server-%d\"\naddress = \"127.%d.%d.%d:9000\"\n", k, 1+k>>16, k>>8&255, k&255)
	}
	fmt.Fprint(w, "\n[[pool.class]]\nname = \"look\"\nrepeat = \"safe\"\n")
}
