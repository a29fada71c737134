package limit

import (
	"testing"

	"pgregory.net/rapid"
)

// TestMachineSharesNeverExceedDescriptors: a machine is divided among the processes of a node. All their descriptors
// together, including those that each process needs for itself, never exceed the machine's, and each process can
// have at least one connection to a server.
func TestMachineSharesNeverExceedDescriptors(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		machine := Machine{Memory: 64 << 20, Descriptors: rapid.IntRange(MinNodeDescriptors, 4096).Draw(r, "descriptors")}
		if err := machine.ReserveConnections(rapid.IntRange(0, 4096).Draw(r, "links")); err != nil {
			return // such settings would leave no descriptors for clients
		}
		of := rapid.IntRange(1, 3).Draw(r, "processes")
		if (machine.Descriptors-spareDescriptors-(of-1)*processDescriptors)/of < machine.Reserved+2 {
			return // the descriptors are too few for the reserved connections of so many processes
		}
		part := machine.Split(of)
		if sum := spareDescriptors + (of-1)*processDescriptors + of*(machine.Reserved+part.ServerConnections()+part.ClientConnections()); sum > machine.Descriptors {
			r.Fatalf("%d processes use %d descriptors, want at most %d", of, sum, machine.Descriptors)
		}
		if part.ServerConnections() < 1 || part.ClientConnections() < part.ServerConnections() {
			r.Fatalf("process has %d connections for clients and %d for servers, want at least 1 for servers and no fewer for clients", part.ClientConnections(), part.ServerConnections())
		}
		if of > 1 {
			return
		}
		held := ConnectionCounts{rapid.IntRange(0, machine.ClientConnections()).Draw(r, "clients"), rapid.IntRange(0, machine.ServerConnections()).Draw(r, "servers")}
		successor := machine.WhileDraining(held)
		// The draining process may use all descriptors; its successor then has none until some are free.
		theirs := spareDescriptors + processDescriptors + 2*machine.Reserved + held.Clients + held.Servers
		if own := successor.ServerConnections() + successor.ClientConnections(); theirs+own > max(theirs, machine.Descriptors) {
			r.Fatalf("%d descriptors are in use and %d allowed to the successor of %d, while the other process has %+v", theirs, own, machine.Descriptors, held)
		}
	})
}
