package limit

import "fmt"

// Machine is the resources of its machine that the node may use.
type Machine struct {
	Cores       float64
	Memory      int64 // bytes
	Descriptors int
	Reserved    int              // permanent connections other than those of clients and servers: see ReserveConnections
	Draining    ConnectionCounts // open connections of the draining predecessor in a hot restart
}

// ConnectionCounts is how many connections a process has. Each needs a descriptor.
type ConnectionCounts struct {
	Clients int `json:"Clients"`
	Servers int `json:"Servers"`
}

// The division of descriptors.
const (
	// spareDescriptors are not used for clients and servers. They are for the standard streams, the poller,
	// the listeners, the 16 of the admin server, one discovery, another process, and connections that are
	// being closed.
	spareDescriptors = 40
	// ReserveDescriptors are those spare descriptors that are open, and closed only if no other is free.
	ReserveDescriptors = 8
	// processDescriptors are the additional spare descriptors for each other process of the node: for its
	// admin server and poller.
	processDescriptors = 16
	// serverDivisor divides the descriptors: connections to servers get the quotient. Clients have requests
	// in flight on at most as many connections, and get more for connections that are idle or still sending.
	serverDivisor = 3
	// minProcessConnections is the least number of connections of a process, even if its machine leaves
	// fewer: it needs two to accept one request and forward it.
	minProcessConnections = 2
	// slowDivisor divides the connections to servers: requests that may occupy one for longer than its server needs get
	// the quotient.
	slowDivisor = 2
)

// The division of memory.
const (
	// heapShare is the part of the memory for the heap, the soft limit near which the garbage collector runs
	// most often. The rest is for stacks, the runtime and kernel buffers charged to the process.
	heapShare = 0.7
	// programBytes is the resident size of the program's own file and of what the runtime does not count as its
	// memory. minHeapShare is the part of a small memory that the heap has in any case.
	programBytes = 16 << 20
	minHeapShare = 0.5
	// baseHeapBytes is the part of the heap that a node without requests needs, with what the runtime needs for itself.
	baseHeapBytes = 5 << 20
	// connectionShare is the largest part of the rest of the heap for connections, and connectionBytes what one of
	// them needs with a small request: buffers, a head and a stack.
	connectionShare = 0.42
	connectionBytes = 26 << 10
	// requestShare is the part of the rest of the heap for what requests need beyond their connections. Neither this
	// part nor that of connections is for garbage: with less than a third of the heap, collections take most of the
	// processor time, and the heap exceeds its limit.
	requestShare = 0.2
	// bodyShare is the part of the rest of the heap for the bodies of the requests that services have admitted.
	bodyShare = 0.5
	// stackShare is the part of the memory for stacks.
	stackShare = 0.2
	// stackSize is the size of a goroutine's stack, in bytes, after the goroutine has read a request or an
	// answer.
	stackSize = 8 << 10
)

// MinNodeMemory, in bytes, and MinNodeDescriptors are the least resources with which a node runs.
const (
	MinNodeMemory      = 32 << 20
	MinNodeDescriptors = 128
)

// ReserveConnections reserves n permanent connections: one for each watch on a discovery, and one for each
// connection of a pool to a planner. One of them is among the spare descriptors. If there are too few descriptors,
// the error contains the number that is needed.
func (m *Machine) ReserveConnections(n int) error {
	m.Reserved = max(0, n-1)
	if least := m.Reserved + MinNodeDescriptors/2; m.Descriptors < least {
		return fmt.Errorf("%d descriptors are too few for %d watches and connections to planners: want %d at least", m.Descriptors, n, least)
	}
	return nil
}

// Split returns the part of the machine for one of several processes that share it evenly during a hot restart.
// The spare descriptors are shared too, as each process needs few of them. Each process has its own reserved
// connections, and at least minProcessConnections besides these.
func (m Machine) Split(processes int) Machine {
	shared := m.Descriptors - spareDescriptors - (processes-1)*processDescriptors
	m.Memory /= int64(processes)
	m.Descriptors = spareDescriptors + m.Reserved + max(minProcessConnections, shared/processes-m.Reserved)
	return m
}

// WhileDraining returns the part of the machine for a process while the other process of the node drains: all
// descriptors that the other process no longer uses. stillOpen is the number of connections that the other process
// still has. Each process has half of the memory, as the draining one may still store all of its bodies.
func (m Machine) WhileDraining(stillOpen ConnectionCounts) Machine {
	m.Memory /= 2
	m.Descriptors -= processDescriptors + m.Reserved
	m.Draining = stillOpen
	return m
}

// ServerConnections returns the limit of connections to servers: as many as there are descriptors and memory for.
func (m Machine) ServerConnections() int {
	return max(0, min(m.sharedServerConnections()-m.Draining.Servers, m.connectionsInMemory()/serverDivisor))
}

// connectionsInMemory returns how many connections there is memory for.
func (m Machine) connectionsInMemory() int {
	return int(connectionShare*float64(m.heapForRequests())) / connectionBytes
}

// sharedServerConnections returns the limit of connections to servers of both processes together: 1/serverDivisor
// of the descriptors, but at most half of those that are not spare, and at most those that the other process's
// clients leave.
func (m Machine) sharedServerConnections() int {
	available := m.Descriptors - m.Reserved
	return min(available/serverDivisor, (available-spareDescriptors)/2, available-spareDescriptors-m.Draining.Clients)
}

// ClientConnections returns the limit of client connections: all descriptors that connections to servers leave, and
// no more than have room in the memory.
func (m Machine) ClientConnections() int {
	inMemory := m.connectionsInMemory()
	return max(0, min(m.clientDescriptors(), inMemory-inMemory/serverDivisor))
}

// clientDescriptors returns the number of descriptors that connections to servers leave for clients.
func (m Machine) clientDescriptors() int {
	servers := max(m.sharedServerConnections(), m.Draining.Servers)
	return max(0, m.Descriptors-m.Reserved-spareDescriptors-servers-m.Draining.Clients)
}

// PeerConnections returns the limit of connections of a process that serves no clients.
func (m Machine) PeerConnections() int { return m.Descriptors - m.Reserved - spareDescriptors }

// HeapLimit returns the soft memory limit for the Go runtime, in bytes: heapShare of the memory, less in a small one,
// of which the program itself needs a large part.
func (m Machine) HeapLimit() int64 {
	all := float64(m.Memory)
	return int64(max(minHeapShare*all, min(heapShare*all, all-programBytes)))
}

// BodyBytes returns the limit of the bytes of bodies that services have admitted at a time.
func (m Machine) BodyBytes() int { return int(bodyShare * float64(m.heapForRequests())) }

// RequestBytes returns the limit of what requests need beyond their connections, in bytes.
func (m Machine) RequestBytes() int { return int(requestShare * float64(m.heapForRequests())) }

// heapForRequests returns the part of the heap for requests and their connections.
func (m Machine) heapForRequests() int64 { return max(0, m.HeapLimit()-baseHeapBytes) }

// Goroutines returns the limit of goroutines, not counting the one of each client connection: a request has one
// that watches its client, and one for each attempt.
func (m Machine) Goroutines() int {
	return max(0, int(stackShare*float64(m.Memory))/stackSize-m.clientDescriptors())
}

// MinMemory returns the least memory, in bytes, that suffices for the descriptors: for the stacks of all client
// connections and of half of the attempts that may be in flight.
func (m Machine) MinMemory() int64 {
	return int64(float64((m.clientDescriptors()+m.sharedServerConnections()/2)*stackSize)/stackShare) + 1
}
