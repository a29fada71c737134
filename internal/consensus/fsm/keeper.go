package fsm

import "time"

// Keeper is the holder's side of one lease: whether it may act on it, and when to ask. Its
// times are of the holder's own monotonic clock.
type Keeper struct {
	ttl   time.Duration
	fence uint64
	until time.Duration
	ask   time.Duration // when next
}

// marginOf is the part of a lease that its holder does not use: clocks run at unlike speeds.
const marginOf = 8

// NewKeeper makes the side of a lease that is not held, of so long a time.
func NewKeeper(ttl time.Duration) *Keeper { return &Keeper{ttl: ttl} }

// Holds says whether the lease is the holder's, and under which fencing number.
func (k *Keeper) Holds(now time.Duration) (fence uint64, ok bool) {
	return k.fence, k.fence > 0 && now < k.until
}

// Until is when the holder is to stop, unless it has renewed the lease.
func (k *Keeper) Until() time.Duration { return k.until }

// Next is when to ask: for a lease that is held to renew it, else to take it.
func (k *Keeper) Next() time.Duration { return k.ask }

// Command is what to ask with. A lease whose time is over at the holder's is taken anew:
// another may have had it since.
func (k *Keeper) Command(now time.Duration, name, holder string) Command {
	c := Command{Op: Acquire, Name: name, Holder: holder, TTL: k.ttl}
	if fence, ok := k.Holds(now); ok {
		c.Op, c.Fence = Renew, fence
	}
	return c
}

// Granted takes the answer to a command that was sent at a moment: the time of the lease
// counts from there, as nobody knows how long the command was on its way.
func (k *Keeper) Granted(sent time.Duration, fence uint64) {
	if fence != k.fence {
		k.until = 0
	}
	k.fence = fence
	k.until = max(k.until, sent+k.ttl-k.ttl/marginOf)
	k.ask = sent + k.ttl/3
}

// Refused takes the answer that another holds the lease, or that it is lost.
func (k *Keeper) Refused(now time.Duration) {
	k.fence, k.until = 0, 0
	k.ask = now + k.ttl/4
}

// Unheard takes note that no answer came: what is held stays held until its time is over.
func (k *Keeper) Unheard(now time.Duration) { k.ask = now + k.ttl/8 }
