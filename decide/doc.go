// Package decide is the load balancer's decision engine: which server gets an attempt, when a request
// is retried or hedged, what is rejected under overload, and which servers are ejected as outliers.
//
// # A pure state machine
//
// One Balancer decides for one pool of servers at one node. The caller feeds it events, each with the
// time at which it happened, and the Balancer answers through the Effects that it was given. It starts
// no goroutine, reads no clock, does no input or output and needs no lock: the same settings, seed and
// events always lead to the same effects. Times are durations since an origin that the caller chooses.
//
// Events in:
//
//	Arrive              a client's request; it gets exactly one final answer
//	AttemptConnected    an attempt has its connection and is about to be written
//	AttemptFinished     an attempt ended, with its Result
//	ClientDisconnected  the client disconnected and wants no answer
//	SetDeadline         a request's deadline moved
//	TimerFired          a timer set by Effects.SetTimer is due
//	UpdateEndpoints     a list, or changes of one, from discovery
//	UpdateServers       the same facts from another source than discovery
//	SetFleetPosition    how many nodes there are and which of them this one is
//
// Effects out: Send and Cancel an attempt; Reject a request (it certainly did no harm) or Fail it (it
// may have run); SetTimer; WatchEndpoints; Log.
//
// # The states of a request
//
//	Arrive -> admission -> selection -> Send -> AttemptFinished -> final answer
//	             |             ^                     |
//	             v             +-- retry or hedge <--+
//	           Reject
//
// A request is known from Arrive until it has its final answer and no attempt for it is in flight.
//
// # The rules, in the order in which a request meets them
//
//	file                   rule                                      functions
//	balancer.go            events in, effects out                    New, Arrive, AttemptFinished, TimerFired
//	client_timeout.go      how old is the request, when is it late   requestAge, setObjective
//	admission.go           is it rejected on arrival                 rejectOnArrival, recordAndShed, cannotAnswerInTime
//	concurrency_limit.go   how many attempts may be in flight        observePressure, updateConcurrencyLimit, shedShare
//	selection.go           which server gets the attempt             pick, eligible, cost, scan
//	latency.go             how long is an answer expected to take    expectedLatency, recordLatency
//	key_affinity.go        which servers have the request's key      offerKeyServers, serversOfKey
//	rendezvous_tree.go     the hashing that places keys on servers   choose
//	slow_start.go          what a server that just started may get   slowStartAllows, slowStartFactor
//	zone_health.go         did servers or a zone restart unseen      recordConnectionLost, restartSuspected
//	retry.go               may it be sent again, and to whom         maySend, dedupUntil
//	hedging.go             is a second attempt sent in parallel      hedge
//	completion.go          reject or fail, and the next step         advance, rejectOrFail, finish
//	outcome.go             what the end of an attempt teaches        recordOutcome
//	outlier.go             which servers are ejected (gRFC A50)      recordCall, sweepOutliers
//	endpoints.go           which servers there are                   UpdateEndpoints, UpdateServers
//	discovery_poll.go      when discovery is polled                  firstPollAt, schedulePollRetry
//	server_index.go        the servers that may be sent to           addReady, removeReady, refreshWeights
//	weighted_tree.go       drawing one of many by weight             locate
//	rate_meter.go          a rate per second, fading                 add, rateAt
//	snapshot.go            what a successor process takes over       Snapshot, Restore
//
// Outlier detection is gRFC A50 and uses its names:
// https://github.com/grpc/proposal/blob/master/A50-xds-outlier-detection.md
//
// # Words used throughout
//
//	local, remote       of this node's zone, of any other zone
//	in flight           sent, and without an outcome yet
//	may have run        in flight, or ended without proof that the server did not run it
//	latency objective   an answer after it is of little or no value to the client
//	latency ratio       a server's latency over the latency expected, smoothed; 1 is normal
//	slow start          the time after a server's start in which it has less than its capacity
//	warm                past its slow start
//	incarnation         one process of a server; a restart begins another
//	capacity            a server's size against a usual server, which has 1
//	signal              where an answer's latency lies from the unloaded latency (0) to the objective (1)
//	pressure            the signal, squared with its sign; smoothed, it steers the concurrency limit
//	shed                rejected on arrival, as the node is overloaded
//	suspected           may have restarted, which the endpoint list has not said yet
//	verified            of the local zone: known not to have restarted together with this node
//	probation           of a server: returned from ejection, and without a success since
//	tick                the periodic timer at which weights, limits and ejections are brought up to date
package decide
