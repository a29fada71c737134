// Package store manages the idempotency keys of a process for its servers of any protocol. It adds a clock, a
// lock and a file to idempotency.Store, which performs no I/O, and it wakes waiting requests. A server calls
// Begin before it forwards a request to a pool, and settles the returned Claim when the run ends.
//
// With a file, the intent to run is durable before the run begins, and its end is durable before any client
// receives the answer. A new process reads the file of its predecessor: a run that was in progress may have
// run. Only one process can have the file open at a time; until a new process has opened it, keyed requests are
// rejected.
//
// # Goroutines and locks
//
// A KeyStore owns at most three goroutines: one that retries to open the file, and two of the journal, which
// commit changes and delete expired records. Close stops them and waits for them. KeyStore.mu is acquired
// before journal.mu; neither is held during I/O.
package store
