package idempotency

import (
	"container/heap"
	"time"
)

// Expire forgets the keys whose retention is over. A key that runs is never forgotten.
func (s *Store) Expire(now time.Duration) {
	for len(s.expiring) > 0 && s.expiring[0].until <= now {
		s.forget(heap.Pop(&s.expiring).(*entry))
	}
}

// NextExpiry returns after how long the next key expires, for a request that found the store Full. It is 0 where
// that is not known, as all keys run. Another request may come first then.
func (s *Store) NextExpiry(now time.Duration) time.Duration {
	if len(s.expiring) == 0 {
		return 0
	}
	return max(0, s.expiring[0].until-now)
}

// expiryHeap orders entries by when they are forgotten. It implements heap.Interface.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push appends an entry, for package heap.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry, for package heap.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
