// Package planner is the protocol between forwarders and planners, as two state machines and the
// messages between them. It does no I/O, runs no goroutine and reads no clock: callers feed a state
// machine events with the time, and carry out the effects that it asks for. Package plannerrpc does
// so over connections, package fleetsim in virtual time.
//
// # Roles
//
// A forwarder carries clients' requests. It keeps all that a node promises: the request's life, its
// retries and its one answer. Before the first attempt of a request it may ask a planner for a
// server. A planner sees the attempts of all forwarders of a pool and places requests with one
// decide.Balancer, as a single node would that has all of the pool's work. Its answer is advice: a
// forwarder that gets none in time, or does not accept the server, decides by itself. So no fault of
// a planner can lose a request or run it twice.
//
// # Connections
//
// A forwarder has one connection to each planner for each pool, and sends a Hello as its first
// frame. A planner that cannot serve it answers with the reason. A frame holds any number of
// messages; messages on one connection arrive in order, once, or not at all when it breaks.
//
// When a connection is up, the forwarder first reports each attempt that it has in flight, then that
// it is synchronized. Until then the planner, which would take busy servers for idle ones, declines
// its requests. What the planner knew of an earlier connection of the same forwarder is forgotten.
//
// # A request
//
// The forwarder asks its first planner that is up and that it trusts, see Chooser, and waits 2 to 20
// ms. A planner that has a server counts the attempt as in flight from then on and answers with the
// server; one that has none, or has just started, declines, and the forwarder decides by itself. If
// no answer comes in time the forwarder withdraws the request, by reporting its attempt as abandoned,
// and asks the next planner.
//
// Each attempt that is sent is reported to all planners, except for one that was sent as planned to
// the planner that planned it; and so is its end. So each planner knows all attempts in flight, and
// the next one can take over at once when the first fails.
//
// # Loss
//
// An attempt whose end is never reported, as its forwarder died, counts until its client has given
// up, and half a second more. A planner that has not run for 0.4 s, as one that was paused, would
// take attempts that ended meanwhile for slow ones: it forgets everything and ends its connections,
// and forwarders synchronize with it anew.
//
// # Zones
//
// A planner places requests on servers of its own zone alone, as servers are quicker with keys that
// they have met. Where its zone is short of servers, it declines what belongs elsewhere.
package planner
