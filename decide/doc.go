// Package decide is the load balancer's decision engine. It selects the server for each attempt, decides
// when a request is retried or hedged, rejects requests under overload and ejects servers as outliers.
//
// # A pure state machine
//
// One Balancer decides for one pool of servers on one node. The caller passes it events, each with the time
// at which the event happened, and the Balancer acts through the Effects passed to New. It starts no
// goroutine, reads no clock, performs no I/O and needs no lock: the same settings, seed and events always
// produce the same effects. Times are durations since an origin that the caller chooses.
//
// Events in:
//
//	Arrive              a client's request arrived; it gets exactly one final answer
//	AttemptConnected    an attempt has a connection and is about to be written
//	AttemptFinished     an attempt ended with a Result
//	ClientDisconnected  the client disconnected and needs no answer
//	SetDeadline         a request's deadline changed
//	TimerFired          a timer set by Effects.SetTimer is due
//	UpdateEndpoints     discovery sent a complete endpoint list or a delta, or a poll failed
//	UpdateServers       a source other than discovery sent entries of the endpoint list
//	SetFleetPosition    the number of nodes, or the index of this node, changed
//
// Effects out: Send and Cancel an attempt; Reject a request (retrying it does no harm) or Fail it (it may
// have run); SetTimer; WatchEndpoints; Log.
//
// # The states of a request
//
//	Arrive -> admission -> selection -> Send -> AttemptFinished -> final answer
//	             |             ^                     |
//	             v             +-- retry or hedge <--+
//	           Reject
//
// The Balancer stores a request from Arrive until the request has its final answer and no attempt in flight.
//
// # The rules, in the order in which they apply to a request
//
//	file                   rule                                      functions
//	balancer.go            events in, effects out                    New, Arrive, AttemptFinished, TimerFired
//	client_timeout.go      a request's age and latency objective     requestAge, setObjective
//	admission.go           rejecting requests on arrival             rejectOnArrival, recordAndDecideShed, cannotAnswerInTime
//	concurrency_limit.go   limiting the attempts in flight           observePressure, updateConcurrencyLimit, shedShare
//	selection.go           selecting the server for an attempt       pick, eligible, cost, scan
//	latency.go             the expected latency of an answer         expectedLatency, recordLatency
//	key_affinity.go        the servers that a key is assigned to     offerKeyServers, serversOfKey
//	rendezvous_tree.go     the hashing that assigns keys to servers  choose
//	slow_start.go          limiting requests in slow start           slowStartAllows, slowStartFactor
//	zone_health.go         detecting unannounced restarts            recordUnreachable, restartSuspected
//	retry.go               whether and where a request is resent     maySend, dedupUntil
//	hedging.go             sending a second attempt in parallel      hedge
//	completion.go          the next attempt or the final answer      advance, rejectOrFail, finish
//	outcome.go             learning from the outcome of an attempt   recordOutcome
//	outlier.go             ejecting outliers (gRFC A50)              recordCall, sweepOutliers
//	endpoints.go           applying updates of the endpoint list     UpdateEndpoints, UpdateServers
//	discovery_poll.go      scheduling polls of discovery             firstPollAt, schedulePollRetry
//	server_index.go        the index of the servers in state Ready   addReady, removeReady, refreshWeights
//	weighted_tree.go       drawing an element at random by weight    locate
//	rate_meter.go          a rate per second that decays             add, rateAt
//	snapshot.go            handing learned state over                Snapshot, Restore
//
// Outlier detection follows gRFC A50 and uses its names:
// https://github.com/grpc/proposal/blob/master/A50-xds-outlier-detection.md
//
// # Terms
//
//	local, remote       in this node's zone; in any other zone
//	in flight           of an attempt: sent, and without an outcome yet
//	may have run        of an attempt that ended: its result does not prove that the server did not run it
//	counts as run       of an attempt: in flight, or ended and may have run
//	latency objective   the time after which an answer has little or no value to the client
//	latency ratio       a server's latency divided by the expected latency, smoothed; 1 is normal
//	slow start          the time after a server's start in which it has less than its full capacity
//	warm                of a server: past its slow start
//	incarnation         one process of a server; a restart begins another
//	capacity            a server's size relative to a usual server, which has 1
//	signal              an answer's latency on a scale from the unloaded latency (0) to the objective (1)
//	pressure            the signal squared, with its sign kept; its smoothed value controls the concurrency limit
//	shed                rejected on arrival because the node is overloaded
//	suspected           of a server: it may have restarted, and the endpoint list has not announced it yet
//	verified            of the local zone: known not to have restarted together with this node
//	probation           of a server: returned from ejection, and without a success since
//	tick                the periodic timer that updates the weights and the concurrency limit
package decide
