package limit

// Machine is what the node may use of its machine.
type Machine struct {
	Cores       float64
	Memory      int64 // bytes
	Descriptors int
}

const (
	// spare descriptors stay free of clients and servers: standard streams,
	// poller, listeners, discovery, and connections that are being closed.
	spare = 64
	// heapShare of the memory is where the collector works hardest; the rest is
	// for stacks, the runtime and kernel buffers charged to the process.
	heapShare = 0.7
	// heldShare of the memory may be held in bodies.
	heldShare = 0.35

	// LeastMemory, in bytes, and LeastDescriptors are the least a node runs with.
	LeastMemory      = 32 << 20
	LeastDescriptors = 2 * spare
)

// Conns is how many connections clients, and likewise attempts, may hold: each
// request held has at most one attempt out, so that none waits for a descriptor
// while idle connections to servers can be closed for it.
func (m Machine) Conns() int { return (m.Descriptors - spare) / 2 }

// Heap is the soft memory limit of the Go runtime, in bytes.
func (m Machine) Heap() int64 { return int64(heapShare * float64(m.Memory)) }

// Held is how many bytes of bodies may be held at a time.
func (m Machine) Held() int { return int(heldShare * float64(m.Memory)) }
