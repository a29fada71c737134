// Package httpserver is the HTTP/1.1 server for clients. It limits the number of their connections, reads each
// request, submits it to the pool that the routing table selects, and writes the one final answer. Load
// balancing, retries and admission are decided in other packages (core, service); this package only rejects
// requests that cannot be parsed or whose framing is ambiguous.
//
// # From connection to answer
//
//   - A listener accepts a connection. At the limit a connTracker closes another connection on which no answer
//     is owed, or delays the new one.
//   - net/http reads the request from a clientConn. The clientConn sees every byte first: its connState records
//     what has been read, and its arrivalTimes when the bytes arrived.
//   - ServeHTTP starts an exchange. It parses the head (request.go), buffers as much of the body as memory
//     allows (upload), and begins the answer, which protects the connection from eviction.
//   - If the request's class has idempotency keys, the exchange claims the key, waits for the first
//     request with the same key, or replays the answer to that request (idempotency.go).
//   - service.Set.Admit admits the request or sheds it; core.Pool sends its attempts to servers.
//   - The exchange writes the final answer (response.go). A body that is not completely buffered streams
//     from the client to the server; a long answer streams from the server to the client.
//
// # Reading and closing
//
// A connState is the only record of what has been read on a connection and of what is owed on it. The socket is
// read, and the connection closed for reading, under clientConn.mu: no request is read after the decision to close, and
// no connection is closed on which a complete request has been read and not answered. Bytes that arrive after that
// decision stay unread, so that the kernel resets the connection and the client knows that it may send its request
// again.
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
