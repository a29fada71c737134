// Package store keeps the idempotency keys of a process for its servers of any protocol: it gives the pure
// idempotency.Store a clock, a lock and a file, and wakes requests that wait. A server calls Begin
// before a request goes to its pool, and settles the Claim that it gets with the end of the run.
//
// With a file, the intent to run is on the disk before the run begins, and its end before any client hears
// of it. A process that starts reads the file of the one before: a run that was under way may have run. Only
// one process has the file at a time; until a new process gets it, keyed requests are refused.
//
// # Goroutines and locks
//
// A KeyStore owns at most three goroutines: one that waits for the file, and two of the journal, which
// commit changes and delete expired records. Close ends them and waits for them. Its mu is taken before
// journal.mu; neither is held over I/O.
package store
