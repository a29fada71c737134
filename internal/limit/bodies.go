package limit

// Sizes of bodies, in bytes.
const (
	// MaxGuaranteedBody is the largest part of each body that is always stored in memory; see
	// Machine.GuaranteedBody. Most requests need no more memory.
	MaxGuaranteedBody = 64 << 10
	// MaxHeldBody is the longest part of one body that is stored. A body that is stored completely can be sent again by
	// another attempt; a longer one is streamed and sent once.
	MaxHeldBody = 1 << 20
	// bodyDivisor divides the free memory: one body may use at most the quotient. Many bodies arrive at
	// the same time, and the first ones must not use all of the memory.
	bodyDivisor = 4
)

// BodyMemory divides the memory for the parts of bodies beyond the guaranteed ones. It is not safe for concurrent
// use.
type BodyMemory struct{ total, used, guaranteed int } // all in bytes

// NewBodyMemory returns the body memory of a machine.
func NewBodyMemory(m Machine) *BodyMemory {
	b := &BodyMemory{}
	b.Resize(m)
	return b
}

// Resize changes the total to the memory for bodies that the guaranteed parts for all connections leave. Memory in use
// stays in use.
func (b *BodyMemory) Resize(m Machine) {
	b.guaranteed = m.GuaranteedBody()
	b.total = m.BodyBytes() - m.ClientConnections()*b.guaranteed
}

// Guaranteed returns the part of each body, in bytes, that needs no reservation.
func (b *BodyMemory) Guaranteed() int { return b.guaranteed }

// Grow reserves n more bytes for a body that already has held bytes beyond the guaranteed part. It returns false if
// the body would exceed MaxHeldBody or 1/bodyDivisor of the free memory: the rest of the body must be streamed.
func (b *BodyMemory) Grow(held, n int) bool {
	if n < 0 || held < 0 {
		return false
	}
	free := b.total - b.used + held
	if held+n > MaxHeldBody-b.guaranteed || held+n > free/bodyDivisor {
		return false
	}
	b.used += n
	return true
}

// Release releases the n bytes that a body has reserved by Grow.
func (b *BodyMemory) Release(n int) { b.used -= n }
