// Package node is one real load balancer round the decision module: it takes
// requests from clients, carries attempts to servers (upstreams), watches
// discovery, and turns all of it into the module's events and the module's
// effects into traffic. It decides nothing itself but what limits of memory and
// sockets force on it.
//
//   - config: the configuration and the budgets that follow from its limits
//   - loop: owns the decide.Balancer; one final answer a request, one outcome
//     an attempt
//   - front: clients' requests in, answers out
//   - conns: clients' connections, their cap and the eviction at it
//   - body: whole request bodies under a byte budget
//   - upstream: attempts out and what their ends prove
//   - discovery: the server list and the watch on it
//   - node: start, drain, end
package node
