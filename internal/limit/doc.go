// Package limit decides who may have what is scarce.
//
//   - Machine derives from cores, memory and descriptors how many connections, bytes and goroutines there
//     are.
//   - Budget divides such a number among pools: each has a guarantee and may borrow what nobody is
//     guaranteed. Health says when a pool is faulty, and so borrows nothing more while it has any.
//   - BodyMemory divides the memory for long bodies among requests.
//   - Gate admits, queues or rejects requests by rates (Bucket) and by places, which it shares fairly among
//     tenants.
//   - KindToEvict says which client connection without a request makes room for a new one.
//
// The package is pure: its callers bring the time and hold the locks, and nothing here blocks. Times are
// spans since any fixed moment of one clock.
package limit
