// Package httpclient sends attempts to servers over HTTP/1.1, on pooled connections. It supports the platform's
// protocol and plain HTTP. It does not choose servers or decide about retries.
//
// # Attempts
//
// server.Send gets an idle connection or dials one, asks the attempt's gate whether the attempt may still
// begin, writes the request, and reads the head and then the body of the answer. An answer of up to
// core.MaxBufferedAnswer bytes is read completely; of a longer one the first bytes are returned, and the rest
// streams to the client.
//
// The package has its own exchange and does not use http.Transport, which reuses a connection for the next
// request before it has checked whether more bytes arrived on it; a surplus answer would then be returned for
// the next request. Here one goroutine owns a connection from the attempt's first byte to its end and accounts
// for every byte.
//
// # Outcomes
//
// The caller needs to know whether the request may have run. It never ran if its last byte was not written, so
// the package counts written bytes exactly, and checks right before each write(2) that the attempt is still
// valid. A failure that this machine causes (no descriptor, no capacity for a connection) ends as
// decide.Abandoned, which counts against no server.
//
// # Connections
//
// An Upstream manages the connections of one pool. Idle connections are closed after a fraction of the servers'
// keep-alive time. The ConnectionLimiter limits the connections of all pools together: each pool has a
// guaranteed share and borrows the unused shares of others; if no slot is free, an idle connection is closed.
//
// # Goroutines and locks
//
// An attempt runs in its caller's goroutine. A second goroutine writes a streaming request; Send waits until it
// has ended. Timers and context.AfterFunc only set deadlines. Upstream.mu is acquired before
// ConnectionLimiter.mu; neither is held during I/O.
package httpclient
