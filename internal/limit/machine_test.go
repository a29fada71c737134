package limit

import (
	"testing"

	"pgregory.net/rapid"
)

// TestMachineIsSharedOut has the processes of a node never have more of its descriptors
// than there are, with what each needs for itself, and none be left without a place.
func TestMachineIsSharedOut(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := Machine{Memory: 64 << 20, Descriptors: rapid.IntRange(LeastDescriptors, 4096).Draw(r, "descriptors")}
		if err := m.Links(rapid.IntRange(0, 4096).Draw(r, "links")); err != nil {
			return // none would be left for clients
		}
		of := rapid.IntRange(1, 3).Draw(r, "processes")
		if (m.Descriptors-spare-(of-1)*kinSpare)/of < m.Fixed+2 {
			return // no room for the links of so many processes
		}
		part := m.Part(of)
		if sum := spare + (of-1)*kinSpare + of*(m.Fixed+part.Conns()+part.Clients()); sum > m.Descriptors {
			r.Fatalf("%d of %d descriptors for %d processes", sum, m.Descriptors, of)
		}
		if part.Conns() < 1 || part.Clients() < part.Conns() {
			r.Fatalf("%d places for clients, %d for servers", part.Clients(), part.Conns())
		}
		if of > 1 {
			return
		}
		held := Held{rapid.IntRange(0, m.Clients()).Draw(r, "clients"), rapid.IntRange(0, m.Conns()).Draw(r, "servers")}
		heir := m.Beside(held)
		// One that drains may hold all, and then the heir has none until some are free.
		theirs := spare + kinSpare + 2*m.Fixed + held.Clients + held.Servers
		if own := heir.Conns() + heir.Clients(); theirs+own > max(theirs, m.Descriptors) {
			r.Fatalf("%d and %d of %d descriptors beside one that drains and holds %+v", theirs, own, m.Descriptors, held)
		}
	})
}
