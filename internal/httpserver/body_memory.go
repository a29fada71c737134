package httpserver

import (
	"sync"

	"jasperpin/internal/limit"
)

// bodyMemory is the memory for request bodies beyond the guaranteed part of each. All sizes are in bytes.
type bodyMemory struct {
	mu     sync.Mutex
	budget *limit.BodyMemory
}

// resize derives the size of the memory from the machine. Reserved memory stays reserved.
func (m *bodyMemory) resize(machine limit.Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Resize(machine)
}

// guaranteed returns the part of each body that needs no reservation.
func (m *bodyMemory) guaranteed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Guaranteed()
}

// reserve reserves n more bytes for a body that has already reserved some. It returns false if the body may not
// have more; the rest of the body then streams.
func (m *bodyMemory) reserve(reserved, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Grow(reserved, n)
}

// release releases the memory that a body has reserved.
func (m *bodyMemory) release(reserved int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(reserved)
}
