// Package hotrestart connects the processes of one node during a hot restart, in which a new
// version takes over from the running one. No client loses a connection attempt, and no learned
// state is lost.
//
// # Processes
//
// The processes of a node form a chain in the order of their starts. Each has at most one
// predecessor and at most one successor, with a connection to each over a Unix socket in the node's
// private directory. The newest process listens on the socket, so a third process connects to the
// second even while the first still drains. Process counts are sent to the neighbors only and are not
// forwarded: with four processes, the first is not notified of the last. Request IDs are forwarded:
// each process sends to one neighbor its own IDs and those that the other neighbor has sent.
//
// # Protocol
//
// Messages are lines of JSON, see the type message. A new process connects and sends a hello. The
// running process, now its predecessor, answers with a snapshot: the state of its pools, the
// request IDs in use, and the addresses of its listening sockets, whose descriptors are sent as
// SCM_RIGHTS with the first byte of the answer. After that, either side sends
//
//   - the number of processes from the sender on, when its other neighbor connects or exits;
//   - maintenance calls of operators, which each process forwards to its other neighbor;
//   - the request IDs opened and closed since the last message, in the sender and beyond it, every 20 ms;
//   - and, from a predecessor that drains, the number of its open connections.
//
// When a connection ends, the process at its other end is considered to have exited, and so are all
// processes beyond it. A process that has lost its successor listens again, since the new version
// failed and another successor may follow, unless a newer process listens on the socket. A process that
// drains exits after its predecessor, if that ends in time, so that the chain is not cut in the middle.
//
// # Without a predecessor
//
// A node can operate without a handover: if no predecessor answers in time, or its snapshot cannot
// be read, the new process starts from its configuration alone.
package hotrestart
