package hotrestart

import "jasperpin/internal/limit"

// Processes describes the processes of the node that share the machine. It determines this
// process's share of memory and descriptors, and when a new process accepts clients.
type Processes struct {
	// Count is the number of processes including this one: at least 1.
	Count int
	// AwaitDrain is set if a predecessor serves clients and has not begun to drain. Until it
	// drains, this process accepts no clients.
	AwaitDrain bool
	// PredecessorDraining is set if the only other process is a predecessor that drains. It accepts
	// no more connections, so this process may use all memory and descriptors except those of
	// PredecessorHeld.
	PredecessorDraining bool
	// PredecessorHeld is the number of open connections of that predecessor; zero unless
	// PredecessorDraining is set.
	PredecessorHeld limit.ConnectionCounts
}

// processChain is the chain of the node's processes as known to one of them.
type processChain struct {
	predecessors int    // processes that started earlier
	successors   int    // processes that started later
	lastDrain    *Drain // last drain message of the nearest predecessor; nil while that process serves
}

// processes returns the Processes for this process.
func (c processChain) processes() Processes {
	p := Processes{
		Count:      min(1+c.predecessors+c.successors, maxProcesses),
		AwaitDrain: c.predecessors > 0 && c.lastDrain == nil,
	}
	if c.predecessors == 1 && c.successors == 0 && c.lastDrain != nil {
		p.PredecessorDraining, p.PredecessorHeld = true, c.lastDrain.Held
	}
	return p
}
