package limit

import "fmt"

// Machine is what the node may use of its machine.
type Machine struct {
	Cores       float64
	Memory      int64 // bytes
	Descriptors int
	Reserved    int              // connections that are always there, besides clients' and servers': see ReserveConnections
	Draining    ConnectionCounts // what the draining process that this one takes over from still has
}

// ConnectionCounts is how many connections a process has. Each takes a descriptor.
type ConnectionCounts struct {
	Clients int `json:"Clients"`
	Servers int `json:"Servers"`
}

// How descriptors are divided.
const (
	// spareDescriptors stay free of clients and servers: standard streams, the poller, listeners, the
	// admin server's 16, one discovery, another process, and connections that are being closed.
	spareDescriptors = 40
	// processDescriptors more stay free for each other process of the node: its admin server and poller.
	processDescriptors = 16
	// serverDivisor is the divisor of the descriptors that servers get. Clients have requests in flight
	// on as many connections at the most, and get more for those that are idle or still send.
	serverDivisor = 3
	// minProcessConnections is how many connections a process has however little its machine leaves, to take
	// one request and forward it.
	minProcessConnections = 2
)

// How memory is divided.
const (
	// heapShare of the memory is where the garbage collector works hardest; the rest is for stacks, the
	// runtime and kernel buffers charged to the process.
	heapShare = 0.7
	// bodyShare of the memory may be taken by bodies: half of the heap, as the other half is for all else
	// that requests need.
	bodyShare = 0.35
	// stackShare of the memory may be taken by stacks.
	stackShare = 0.2
	// stackSize is what a goroutine's stack takes, in bytes, once a request or an answer has been read
	// on it.
	stackSize = 8 << 10
)

// MinNodeMemory, in bytes, and MinNodeDescriptors are the least that a node runs with.
const (
	MinNodeMemory      = 32 << 20
	MinNodeDescriptors = 128
)

// ReserveConnections reserves n connections that are there at all times: each watch of a discovery, and each that a pool
// has to a planner. One of them is among the spare descriptors. Its error says how many descriptors they
// need.
func (m *Machine) ReserveConnections(n int) error {
	m.Reserved = max(0, n-1)
	if least := m.Reserved + MinNodeDescriptors/2; m.Descriptors < least {
		return fmt.Errorf("%d descriptors are too few for %d watches and connections to planners: want %d at the least", m.Descriptors, n, least)
	}
	return nil
}

// Split is the machine of one of several processes that share it evenly, as while a new version takes over.
// The spare descriptors are shared too: each process needs few of them. Reserved connections are each
// process's own, and where they leave nothing it has minProcessConnections all the same.
func (m Machine) Split(processes int) Machine {
	shared := m.Descriptors - spareDescriptors - (processes-1)*processDescriptors
	m.Memory /= int64(processes)
	m.Descriptors = spareDescriptors + m.Reserved + max(minProcessConnections, shared/processes-m.Reserved)
	return m
}

// WhileDraining is the machine of one of two processes whose other one drains: all descriptors that the other does
// not have any more. Each has half of the memory, as the one that drains may still have all of its bodies.
func (m Machine) WhileDraining(held ConnectionCounts) Machine {
	m.Memory /= 2
	m.Descriptors -= processDescriptors + m.Reserved
	m.Draining = held
	return m
}

// ServerConnections is how many connections to servers attempts may have.
func (m Machine) ServerConnections() int {
	return max(0, m.sharedServerConnections()-m.Draining.Servers)
}

// sharedServerConnections is how many connections to servers both processes may have: a 1/serverDivisor of the
// descriptors, no more than half of what is not spare, and no more than what the other process's clients
// leave.
func (m Machine) sharedServerConnections() int {
	available := m.Descriptors - m.Reserved
	return min(available/serverDivisor, (available-spareDescriptors)/2, available-spareDescriptors-m.Draining.Clients)
}

// ClientConnections is how many connections clients may have: all that servers leave.
func (m Machine) ClientConnections() int {
	servers := max(m.sharedServerConnections(), m.Draining.Servers)
	return max(0, m.Descriptors-m.Reserved-spareDescriptors-servers-m.Draining.Clients)
}

// PeerConnections is how many connections a process that serves no clients may have.
func (m Machine) PeerConnections() int { return m.Descriptors - m.Reserved - spareDescriptors }

// HeapLimit is the soft memory limit of the Go runtime, in bytes.
func (m Machine) HeapLimit() int64 { return int64(heapShare * float64(m.Memory)) }

// BodyBytes is how many bytes of bodies may be in memory at a time.
func (m Machine) BodyBytes() int { return int(bodyShare * float64(m.Memory)) }

// Goroutines is how many there may be beyond the one of each client's connection: a request has one that
// watches its client, and one for each attempt.
func (m Machine) Goroutines() int {
	return max(0, int(stackShare*float64(m.Memory))/stackSize-m.ClientConnections())
}

// MinMemory is the least memory, in bytes, that suits the descriptors: stacks for all clients' connections, and
// goroutines for half of the attempts that may be in flight.
func (m Machine) MinMemory() int64 {
	return int64(float64((m.ClientConnections()+m.ServerConnections()/2)*stackSize)/stackShare) + 1
}
