// Package descriptors keeps some of a process's file descriptors in reserve. A process that may open no more of them can
// use the reserve for new connections, and so answer requests that have arrived.
package descriptors

import (
	"os"
	"sync"
	"time"
)

// refillInterval is the time after which released descriptors are taken again, if there are any.
const refillInterval = time.Second

// Reserve is a number of open descriptors that are used for nothing else. It is safe for concurrent use.
type Reserve struct {
	size int

	mu     sync.Mutex
	files  []*os.File
	refill *time.Timer // nil unless descriptors are missing
	closed bool
}

// NewReserve returns a reserve of size descriptors, or of fewer if the process may not open as many. The caller must call
// Close.
func NewReserve(size int) *Reserve {
	r := &Reserve{size: size}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill()
	return r
}

// fill opens what is missing, and tries again later if it cannot. The caller holds mu.
func (r *Reserve) fill() {
	for len(r.files) < r.size && !r.closed {
		file, err := os.Open(os.DevNull)
		if err != nil { // none is free: they are needed elsewhere
			r.fillLater()
			return
		}
		r.files = append(r.files, file)
	}
}

// fillLater calls fill after refillInterval, unless that is already planned. The caller holds mu.
func (r *Reserve) fillLater() {
	if r.refill != nil {
		return
	}
	r.refill = time.AfterFunc(refillInterval, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refill = nil
		r.fill()
	})
}

// Release closes one descriptor of the reserve, and reports whether there was one.
func (r *Reserve) Release() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.files) - 1
	if last < 0 {
		return false
	}
	_ = r.files[last].Close() // its descriptor is free also if Close fails
	r.files = r.files[:last]
	r.fillLater()
	return true
}

// Close closes the reserve.
func (r *Reserve) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.refill != nil {
		r.refill.Stop()
	}
	for _, file := range r.files {
		_ = file.Close()
	}
	r.files = nil
}
