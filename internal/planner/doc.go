// Package planner implements the protocol between forwarders and planners: one state machine for each
// role and the messages between them. It does no I/O, runs no goroutine and reads no clock. Callers
// pass events and the current time to a state machine, and carry out the effects that it requests.
// Package plannerrpc does so over network connections, package fleetsim in virtual time.
//
// # Roles
//
// A forwarder serves clients' requests. It is responsible for all that a node guarantees: the life of
// a request, its retries and its one answer. Before the first attempt of a request it may ask a
// planner for a server. A planner knows the attempts of all forwarders of a pool and places requests
// with one decide.Balancer, as a single node that served the whole pool would. Its answer is advice: a
// forwarder that gets no answer in time, or does not accept the server, chooses a server by itself.
// Therefore no failure of a planner can lose a request or run it twice.
//
// # Connections
//
// A forwarder has one connection to each planner for each pool, and sends a Hello as its first
// frame. A planner that cannot serve the forwarder answers with the reason. A frame holds any number
// of messages. The messages of one connection arrive in order and at most once; those in transit when
// the connection fails are lost.
//
// After it has connected, the forwarder first reports each attempt that it has in flight, and then
// that it is synchronized. Until then the planner would mistake busy servers for idle ones, so it
// declines the forwarder's requests. A new connection replaces the state that the planner has from an
// earlier connection of the same forwarder.
//
// # A request
//
// The forwarder asks the first planner that is connected and not in backoff (see Chooser), and waits 2
// to 20 ms. A planner that finds a server counts the attempt as in flight from then on and answers
// with the server. A planner that finds none, or has just started, declines, and the forwarder chooses
// a server by itself. If no answer arrives in time, the forwarder withdraws the request by reporting
// its attempt as abandoned, and asks the next planner.
//
// The forwarder reports each attempt to all planners when it is sent and when it ends. The only
// exception is an attempt sent as planned: the planner that planned it counts it already and gets no
// report that it was sent. So each planner knows all attempts in flight, and the next planner can take
// over at once when the first fails.
//
// # Loss
//
// If a forwarder dies, the ends of its attempts are never reported. Such an attempt counts as in
// flight until 0.5 s after its client's deadline. A planner that has not run for 0.4 s, for example
// because its process was paused, would mistake attempts that ended in the meantime for slow ones. It
// discards all state and closes its connections, and forwarders synchronize with it again.
//
// # Zones
//
// A planner places requests only on servers of its own zone, since servers respond faster to keys
// that they have served before. If its zone is short of servers, it declines requests that the
// balancer would place in another zone.
package planner
