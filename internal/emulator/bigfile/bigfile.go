// Package bigfile writes an operator's file of any size, for trials of how much a node can
// be told. The file is sound: a node takes it as it is.
package bigfile

import (
	"bufio"
	"fmt"
	"io"
)

// Size is how much a file holds. Each service has a pool of its own; routes, tenants and
// servers are laid out over them in turn.
type Size struct {
	Services, Servers, Routes, Tenants int
}

// Full is the stated size of the product.
var Full = Size{Services: 1_300, Servers: 27_000, Routes: 37_000, Tenants: 140_000}

// Part is a size's part in n, as a trial of growth wants it.
func (s Size) Part(n int) Size {
	return Size{Services: s.Services / n, Servers: s.Servers / n, Routes: s.Routes / n, Tenants: s.Tenants / n}
}

// Write writes a file of a node that listens at an address and has a machine of its size.
func (s Size) Write(to io.Writer, listen string) error {
	w := bufio.NewWriter(to)
	fmt.Fprintf(w, "[node]\nname = \"edge-1\"\nlisten = [%q]\n", listen)
	for i := range s.Services {
		fmt.Fprintf(w, "\n[[service]]\nname = \"service-%d\"\ntenant_header = \"Req-Owner\"\nconcurrent = 100\n", i)
		for k := i; k < s.Tenants; k += s.Services {
			fmt.Fprintf(w, "\n[[service.tenant]]\nname = \"tenant-%d\"\nrate = 100\n", k)
		}
		for k := i; k < s.Routes; k += s.Services {
			fmt.Fprintf(w, "\n[[service.route]]\nhosts = [\"service-%d.example.org\"]\npath = \"/part-%d\"\nas = \"look\"\npool = \"pool-%d\"\n", i, k, i)
		}
	}
	for i := range s.Services {
		fmt.Fprintf(w, "\n[[pool]]\nname = \"pool-%d\"\n", i)
		for k := i; k < s.Servers; k += s.Services {
			fmt.Fprintf(w, "\n[[pool.server]]\nname = \"server-%d\"\naddress = \"127.%d.%d.%d:9000\"\n", k, 1+k>>16, k>>8&255, k&255)
		}
		fmt.Fprint(w, "\n[[pool.class]]\nname = \"look\"\nrepeat = \"safe\"\n")
	}
	return w.Flush()
}
