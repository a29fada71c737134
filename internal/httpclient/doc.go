// Package httpclient sends attempts to servers by HTTP/1.1, on connections that it pools. It speaks the
// platform's protocol or plain HTTP, and decides nothing about which server or whether to retry.
//
// # An attempt
//
// server.Send takes an idle connection or dials one, asks the attempt's gate whether it may still begin,
// writes the request, reads the answer's head and then its body. An answer of up to core.MaxBufferedAnswer
// bytes is read completely; of a longer one the first bytes are returned, and the rest streams to the client.
//
// The exchange is this package's own and not http.Transport's: http.Transport gives a connection to the
// next request before it has looked at what else arrived on it, so that a surplus answer would be taken for
// that request's. Here one goroutine owns a connection from an attempt's first byte to its end and accounts
// for every byte.
//
// # Outcomes
//
// What matters to the caller is whether the request may have run. It has certainly not run if its last byte
// was not written, so the package counts written bytes exactly, and re-validates the attempt right before
// each write(2). A failure that this machine causes (no descriptor, no capacity for a connection) ends as
// decide.Abandoned, which counts against no server.
//
// # Connections
//
// An Upstream holds one pool's connections. Idle ones close after a part of the servers' keep-alive time.
// The ConnectionLimiter bounds the connections of all pools together: each pool has a guaranteed share, and
// borrows what others leave; idle connections are closed when no slot is free.
//
// # Goroutines and locks
//
// An attempt runs in its caller's goroutine. A streaming request is written by a second one, which Send
// waits for. Timers and context.AfterFunc only set deadlines. Upstream.mu is taken before
// ConnectionLimiter.mu; neither is held over I/O.
package httpclient
