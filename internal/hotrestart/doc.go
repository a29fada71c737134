// Package hotrestart connects the processes of one node while a new version takes over from the
// running one, so that no client loses a connection attempt and nothing learned is lost.
//
// # Processes
//
// The processes of a node form a chain in the order of their starts. Each has at most one
// predecessor and at most one successor, with a connection to each over a Unix socket in the
// node's private directory. The newest process listens at the socket, so a third process finds the
// second even while the first still drains. Counts of processes and request IDs go to the neighbors
// alone and no further: of four processes the first does not hear of the last.
//
// # Protocol
//
// Messages are lines of JSON, see the type message. A new process connects and sends a hello. The
// running process, now its predecessor, answers with a snapshot: the state of its pools, the
// request IDs in use, and the addresses of its listening sockets, whose descriptors go along as
// SCM_RIGHTS with the first byte of the answer. From then on either side sends
//
//   - the number of processes from the sender on, when its other neighbor connects or ends;
//   - operators' maintenance calls, which each process passes on to its other neighbor;
//   - the request IDs opened and closed since the last message, every 20 ms;
//   - and the predecessor, once it drains, the connections that it still holds.
//
// The end of a connection is taken for the end of the process behind it, and of all beyond. A process
// that lost its successor listens again, since the new version failed and another one may follow.
//
// # Without a predecessor
//
// All of this is an improvement that a node can do without: where no predecessor answers in time,
// or its snapshot cannot be read, the new process starts from its configuration alone.
package hotrestart
