package limit

// Sizes of bodies, in bytes.
const (
	// GuaranteedBody is the part of a body that is held in any case, as each connection's share of the
	// memory covers it: most requests never need more.
	GuaranteedBody = 64 << 10
	// MaxHeldBody is the most that is held of one body. What is held can be sent again by another
	// attempt; what is longer is streamed and sent once.
	MaxHeldBody = 1 << 20
	// bodyDivisor is the divisor of the free memory that one body may have at the most: many bodies
	// come at a time, and the first ones must not take it all.
	bodyDivisor = 4
)

// BodyMemory divides the memory for what bodies have beyond GuaranteedBody.
type BodyMemory struct{ total, used int } // bytes

// NewBodyMemory makes the memory of a machine.
func NewBodyMemory(m Machine) *BodyMemory {
	b := &BodyMemory{}
	b.Resize(m)
	return b
}

// Resize changes how much there is: what the guaranteed bodies of all connections leave, but a
// 1/bodyDivisor of the memory for bodies in any case. What is in use stays so.
func (b *BodyMemory) Resize(m Machine) {
	b.total = max(m.BodyBytes()-m.ServerConnections()*GuaranteedBody, m.BodyBytes()/bodyDivisor)
}

// Grow takes n bytes more for a body that has held bytes beyond GuaranteedBody. It returns false where the body
// would exceed MaxHeldBody or 1/bodyDivisor of the free memory: the rest of it must be streamed.
func (b *BodyMemory) Grow(held, n int) bool {
	if n < 0 || held < 0 {
		return false
	}
	free := b.total - b.used + held
	if held+n > MaxHeldBody-GuaranteedBody || held+n > free/bodyDivisor {
		return false
	}
	b.used += n
	return true
}

// Release gives back the n bytes that a body had.
func (b *BodyMemory) Release(n int) { b.used -= n }
