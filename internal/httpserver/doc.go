// Package httpserver is the HTTP/1.1 server that clients connect to. It keeps their connections
// within a limit, reads each request, hands it to the pool that the routing table names, and writes
// the one final answer. Load balancing, retries and admission are decided elsewhere (core, service);
// this package only rejects what cannot be parsed or framed.
//
// # From connection to answer
//
//   - A listener accepts a connection. At the limit a connTracker closes another one that holds no
//     complete request, or makes the newcomer wait.
//   - net/http reads the request from a clientConn. The clientConn sees every byte first: it follows
//     the framing of the requests (package httpframing) and when their bytes arrived (arrivalTimes).
//   - ServeHTTP starts an exchange. It parses the head (request.go), buffers the body as far as memory
//     allows (upload), and marks the connection as holding a request, which protects it from eviction.
//   - If the request's class has idempotency keys, the exchange claims the key, waits for the first
//     request under it, or replays that one's answer (idempotency.go).
//   - service.Set.Admit admits the request or sheds it; core.Pool carries it out.
//   - The exchange writes the final answer (response.go). A body that was not buffered completely
//     streams from the client to the server; a long answer streams the other way.
//
// # Client presence
//
// No attempt may be sent for a client that has disconnected. net/http reads one byte in the
// background while a handler runs; clientConn turns that read into a wait for the peer's hang-up
// (POLLRDHUP) that takes no bytes, so pipelined bytes cannot hide a disconnect. The same state is
// polled by whoever is about to write an attempt.
//
// # Shutdown
//
// Shutdown empties the accept queue, closes idle connections, lets requests that are already
// arriving complete until a deadline, and answers 503 to the rest. It does not use
// http.Server.Shutdown, which drops requests that are still being read.
//
// # Goroutines and locks
//
// net/http owns one goroutine for each connection; it ends when the connection is closed, and
// Shutdown closes them all. This package starts no goroutine of its own. connTracker.mu is taken
// before clientConn.mu, never after it; both are held over system calls that cannot block, never over
// one that can.
package httpserver
