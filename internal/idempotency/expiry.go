package idempotency

import (
	"container/heap"
	"time"
)

// Expire deletes the keys whose retention has ended. It never deletes a key that is running.
func (s *Store) Expire(now time.Duration) {
	for len(s.expiring) > 0 && s.expiring[0].until <= now {
		s.remove(heap.Pop(&s.expiring).(*entry))
	}
}

// NextExpiry returns the time until the next key expires, for a request that was rejected as Full. It is 0 if
// all keys are running, as the time is then unknown. Another request may be accepted first once the key has
// expired.
func (s *Store) NextExpiry(now time.Duration) time.Duration {
	if len(s.expiring) == 0 {
		return 0
	}
	return max(0, s.expiring[0].until-now)
}

// expiryHeap orders entries by expiry time. It implements heap.Interface.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push appends an entry. Only package heap calls it.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

// Pop removes and returns the last entry. Only package heap calls it.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
