package limit

import "fmt"

// Machine is what the node may use of its machine.
type Machine struct {
	Cores       float64
	Memory      int64 // bytes
	Descriptors int
	Fixed       int  // connections beside clients' and servers' that are always there: see Links
	Others      Held // what a process that this one takes over from still has
}

// Held is how many connections a process has, each of which is a descriptor.
type Held struct {
	Clients int `json:"Clients"`
	Servers int `json:"Servers"`
}

const (
	// spare descriptors stay free of clients and servers: streams, poller, listeners,
	// the door's 16, a discovery, another process, and connections that are being closed.
	spare = 40
	// kinSpare more stay free for each other process of the node: its door and poller.
	kinSpare = 16
	// A serverShare-th of the descriptors is for servers. Clients hold requests on as
	// many at the most, and have places beyond for those that rest, or still write.
	serverShare = 3
	// heapShare of the memory is where the collector works hardest; the rest is
	// for stacks, the runtime and kernel buffers charged to the process.
	heapShare = 0.7
	// heldShare of the memory may be held in bodies.
	heldShare = 0.35
	// stackShare of the memory may be stacks. A goroutine's takes stack bytes once
	// a request or an answer has been read on it.
	stackShare = 0.2
	stack      = 8 << 10

	// LeastMemory, in bytes, and LeastDescriptors are the least a node runs with.
	LeastMemory      = 32 << 20
	LeastDescriptors = 128
)

// Links has so many connections be there at all times: each watch of a discovery, and each
// that a pool has to a planner. One is among the spare descriptors. Its error says how many
// descriptors they want.
func (m *Machine) Links(n int) error {
	m.Fixed = max(0, n-1)
	if least := m.Fixed + LeastDescriptors/2; m.Descriptors < least {
		return fmt.Errorf("%d descriptors are too few for %d watches and connections to planners: want %d at the least", m.Descriptors, n, least)
	}
	return nil
}

// Part is the machine of one of several processes that have it together, as while a new
// version takes over. The spare descriptors are shared too: each needs few of them. Links it
// has of its own, and where they leave nothing it has two places all the same.
func (m Machine) Part(of int) Machine {
	m.Memory /= int64(of)
	m.Descriptors = spare + m.Fixed + max(2, (m.Descriptors-spare-(of-1)*kinSpare)/of-m.Fixed)
	return m
}

// Beside is the part of one of two processes whose other one drains: all that it does
// not hold any more. Both halve the memory, as what drains may hold all of its bodies.
func (m Machine) Beside(held Held) Machine {
	m.Memory /= 2
	m.Descriptors -= kinSpare + m.Fixed
	m.Others = held
	return m
}

// Conns is how many connections attempts may hold, and Clients clients: all that is left.
func (m Machine) Conns() int { return max(0, m.servers()-m.Others.Servers) }

func (m Machine) servers() int {
	own := m.Descriptors - m.Fixed
	return min(own/serverShare, (own-spare)/2, own-spare-m.Others.Clients)
}

// Clients is how many connections clients may hold.
func (m Machine) Clients() int {
	return max(0, m.Descriptors-m.Fixed-spare-max(m.servers(), m.Others.Servers)-m.Others.Clients)
}

// Peers is how many connections a process that serves no clients may hold.
func (m Machine) Peers() int { return m.Descriptors - m.Fixed - spare }

// Heap is the soft memory limit of the Go runtime, in bytes.
func (m Machine) Heap() int64 { return int64(heapShare * float64(m.Memory)) }

// Held is how many bytes of bodies may be held at a time.
func (m Machine) Held() int { return int(heldShare * float64(m.Memory)) }

// Goroutines is how many there may be beyond the one of each client's connection:
// a request has one that listens for its client, and one for each attempt.
func (m Machine) Goroutines() int {
	return max(0, int(stackShare*float64(m.Memory))/stack-m.Clients())
}

// Wants is the least memory, in bytes, that suits the descriptors: stacks for all
// clients' connections, and goroutines for half of what may be out at servers.
func (m Machine) Wants() int64 {
	return int64(float64((m.Clients()+m.Conns()/2)*stack)/stackShare) + 1
}
