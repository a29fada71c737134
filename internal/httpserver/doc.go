// Package httpserver is the HTTP/1.1 server for clients. It limits the number of their connections, reads each
// request, submits it to the pool that the routing table selects, and writes the one final answer. Load
// balancing, retries and admission are decided in other packages (core, service); this package only rejects
// requests that cannot be parsed or whose framing is ambiguous.
//
// # From connection to answer
//
//   - A listener accepts a connection. At the limit a connTracker closes another connection that has no
//     complete request, or delays the new one.
//   - net/http reads the request from a clientConn. The clientConn sees every byte first: it tracks the
//     framing of the requests (package httpframing) and the arrival times of their bytes (arrivalTimes).
//   - ServeHTTP starts an exchange. It parses the head (request.go), buffers as much of the body as memory
//     allows (upload), and marks the connection as active, which protects it from eviction.
//   - If the request's class has idempotency keys, the exchange claims the key, waits for the first
//     request with the same key, or replays the answer to that request (idempotency.go).
//   - service.Set.Admit admits the request or sheds it; core.Pool sends its attempts to servers.
//   - The exchange writes the final answer (response.go). A body that is not completely buffered streams
//     from the client to the server; a long answer streams from the server to the client.
//
// # Client presence
//
// No attempt may be sent for a client that has disconnected. net/http reads one byte in the background while a
// handler runs. clientConn replaces that read by a wait for the peer's disconnect (POLLRDHUP) that consumes no
// bytes, so pipelined bytes cannot hide a disconnect. The pool polls the same state right before it writes an
// attempt.
//
// # Shutdown
//
// Shutdown empties the accept queue, closes idle connections, completes requests that are already arriving
// until a deadline, and answers 503 to the rest. It does not use http.Server.Shutdown, which drops requests
// that are still being read.
//
// # Goroutines and locks
//
// net/http starts one goroutine for each connection, which ends when the connection is closed; Shutdown closes
// them all. This package starts no goroutine of its own. connTracker.mu is acquired before clientConn.mu, never
// after it. Both are held during system calls that cannot block, never during one that can.
package httpserver
