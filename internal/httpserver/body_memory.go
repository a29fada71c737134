package httpserver

import (
	"sync"

	"jasperpin/internal/limit"
)

// bodyMemory is the memory for bodies that are buffered beyond limit.GuaranteedBody bytes, which each
// connection has in any case. All sizes are in bytes.
type bodyMemory struct {
	mu     sync.Mutex
	budget *limit.BodyMemory
}

// resize changes how much memory there is. What is reserved stays reserved.
func (m *bodyMemory) resize(machine limit.Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Resize(machine)
}

// reserve takes n more for a body that has reserved so much already. It returns false where the body may
// have no more: the rest of it has to stream.
func (m *bodyMemory) reserve(reserved, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Grow(reserved, n)
}

// release gives back what a body has reserved.
func (m *bodyMemory) release(reserved int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(reserved)
}
