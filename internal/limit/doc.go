// Package limit decides how scarce resources are divided among pools, tenants and connections.
//
//   - Machine derives the limits of connections, bytes and goroutines from a machine's cores, memory and
//     descriptors.
//   - Budget divides such a limit among pools: each pool has a guarantee and may borrow units that are
//     guaranteed to no pool. Health decides whether a pool is faulty; a faulty pool that has any units
//     borrows no more.
//   - RequestMemory admits what requests need beyond their connections: long heads, bodies, uploads and answers.
//   - Gate admits, queues or rejects requests by rates (Bucket) and by concurrency slots, which it shares
//     fairly among tenants.
//   - KindToEvict decides which client connection without a request is closed to make room for a new one.
//
// The package is pure: its callers pass the time and hold the locks, and no call blocks. Times are durations
// since an arbitrary fixed origin of one clock.
package limit
