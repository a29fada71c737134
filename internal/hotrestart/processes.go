package hotrestart

import "jasperpin/internal/limit"

// Processes is what a process knows of the processes that it shares its machine with. It decides
// the process's part of memory and descriptors, and when a new process accepts clients.
type Processes struct {
	// Count is the number of processes, this one among them: at least 1.
	Count int
	// AwaitDrain says that a predecessor serves clients and has not begun to drain. Until it drains
	// this process leaves clients to it.
	AwaitDrain bool
	// PredecessorDraining says that the only other process is a predecessor that drains. It accepts
	// nothing more, so all that it does not hold is free for this process.
	PredecessorDraining bool
	// PredecessorHeld is what that predecessor still holds; zero unless PredecessorDraining.
	PredecessorHeld limit.ConnectionCounts
}

// processChain is the node's processes as one of them sees them.
type processChain struct {
	predecessors int    // processes that started earlier
	successors   int    // processes that started later
	drain        *Drain // the nearest predecessor's last; nil while it serves
}

// processes returns what follows for this process.
func (c processChain) processes() Processes {
	p := Processes{
		Count:      min(1+c.predecessors+c.successors, maxProcesses),
		AwaitDrain: c.predecessors > 0 && c.drain == nil,
	}
	if c.predecessors == 1 && c.successors == 0 && c.drain != nil {
		p.PredecessorDraining, p.PredecessorHeld = true, c.drain.Held
	}
	return p
}
