package fleetsim

import (
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/slowstart"
)

// server is a simulated server: cores, a queue and a cache of recent keys.
type server struct {
	sim            *sim
	id             decide.ServerID
	zone           int
	cores          int
	speed          float64
	startedAt      time.Duration // start time of the server; 0 if it started long before the run
	busyCores      int
	running        []*job
	waiting        []*job
	cachedKeys     map[uint64]time.Duration
	slowStartCalls slowstart.Monitor // requests sent while the server is in slow start
	slowStartWork  slowstart.Monitor // like slowStartCalls, by the work of the requests
	announcedCalls slowstart.Monitor // requests once all nodes may know its start time or, for a server of a lost zone, from its return on
	unreachable    bool              // the server is in a lost zone and answers nothing
	returned       bool              // the zone of the server was lost and is back
	overloaded     bool              // the server was sent more than overloadMultiple times its capacity since its return
	faulty         bool              // the server fails half of its requests
	state          decide.ServerState
}

// inSlowStart reports whether the server started less than slowStartWindow ago.
func (v *server) inSlowStart() bool {
	return v.startedAt > 0 && v.sim.now-v.startedAt < slowStartWindow
}

// currentSpeed returns the current speed of each of its cores.
func (v *server) currentSpeed() float64 {
	if !v.inSlowStart() {
		return v.speed
	}
	return v.speed * (slowStartShare + (1-slowStartShare)*float64(v.sim.now-v.startedAt)/float64(slowStartWindow))
}

// slowStartRule defines when a cold server is overloaded.
var slowStartRule = slowstart.Rule{Multiple: overloadMultiple, Window: overloadWindow}

// countArrival counts a request to a cold server against its capacity. informed says whether the node that
// sent it knew the server's start time.
func (v *server) countArrival(work time.Duration, informed bool) {
	if !v.inSlowStart() {
		return
	}
	s, rate := v.sim, v.currentSpeed()*float64(v.cores)/meanWork()
	v.slowStartCalls.Rule, v.slowStartWork.Rule, v.announcedCalls.Rule = slowStartRule, slowStartRule, slowStartRule
	v.slowStartCalls.Arrive(s.now, rate, 1, informed)
	v.slowStartWork.Arrive(s.now, rate, work.Seconds()/meanWork(), informed)
	if !v.returned && s.now-v.startedAt < listDelay+overloadWindow {
		return // not all nodes knew the server's start time for the whole window
	}
	load := v.announcedCalls.Arrive(s.now, rate, 1, informed).Ratio() * overloadMultiple
	if !v.returned {
		s.res.MaxSlowStartLoad = max(s.res.MaxSlowStartLoad, load)
		return
	}
	s.res.MaxReturnLoad = max(s.res.MaxReturnLoad, load)
	if load > overloadMultiple && !v.overloaded && s.now-v.startedAt <= listDelay+overloadWindow {
		v.overloaded = true
		s.res.Overloaded++
	}
}

// finishSlowStart adds the counts of the server's slow start to the result and resets them.
func (v *server) finishSlowStart() {
	v.sim.res.SlowStartCalls.Add(&v.slowStartCalls)
	v.sim.res.SlowStartWork.Add(&v.slowStartWork)
	v.slowStartCalls, v.slowStartWork, v.announcedCalls = slowstart.Monitor{}, slowstart.Monitor{}, slowstart.Monitor{}
}

// failZone makes the servers of the first zone unreachable, and schedules their return.
func (s *sim) failZone() {
	for _, v := range s.servers {
		if v.zone == 0 {
			v.unreachable = true
			v.startedAt, v.busyCores, v.running, v.waiting = s.now, 0, nil, nil // the server's requests get no answer
		}
	}
	dies := func(b *balancerNode) bool { return s.set.Outage.WithNodes && b.zone == 0 }
	for i, b := range s.balancers {
		if dies(b) {
			s.killNode(i)
		}
	}
	s.after(s.set.Outage.For, func() {
		for _, v := range s.servers {
			if v.unreachable {
				// The servers return one after the other, within a second.
				s.after(time.Duration(s.rng.Float64()*float64(time.Second)), func() {
					v.finishSlowStart()
					v.unreachable, v.returned, v.startedAt, v.cachedKeys = false, true, s.now, make(map[uint64]time.Duration)
					v.countSlowStart()
					s.after(listDelay, s.announceServers)
				})
			}
		}
		for i, b := range s.balancers {
			if dies(b) {
				s.startNode(i)
			}
		}
	})
}

// meanWork returns the mean work of a request, in core seconds at the reference speed.
func meanWork() (mean float64) {
	for _, c := range classes {
		mean += c.share * c.work.Seconds()
	}
	return mean
}

// job is an attempt at its server.
type job struct {
	req      *request
	work     time.Duration
	informed bool // the node that sent the attempt knew the server's start time
	started  bool
	dropped  bool // abandoned or cancelled before it started, or its server restarted
	done     func(decide.Result)
}

// arrive starts a job, queues it or rejects it.
func (v *server) arrive(j *job) {
	v.countArrival(j.work, j.informed)
	switch {
	case j.dropped, v.unreachable:
	case v.busyCores < v.cores:
		v.start(j)
	case len(v.waiting) < queuePerCore*v.cores:
		v.waiting = append(v.waiting, j)
	default:
		j.done(decide.Overloaded)
	}
}

// start runs a job, and the next ones in the queue when it ends.
func (v *server) start(task *job) {
	task.started = true
	task.req.runs++
	if task.req.runs == 2 && classes[task.req.class].Idempotency == decide.NotIdempotent {
		v.sim.res.RanTwice++
	}
	v.running = append(v.running, task)
	v.busyCores++
	work := float64(task.work)
	if last, met := v.cachedKeys[task.req.key]; met && v.sim.now-last < keyCacheTime {
		work *= 1 - keyCacheSaving
	}
	v.cachedKeys[task.req.key] = v.sim.now
	startedAt, duration := v.startedAt, time.Duration(work/v.currentSpeed())
	if v.inSlowStart() {
		v.sim.res.SlowStartUse += duration.Seconds()
	} else {
		v.sim.res.WarmUse += duration.Seconds()
	}
	v.sim.after(duration, func() {
		if v.startedAt != startedAt {
			return // the server has restarted meanwhile
		}
		v.busyCores--
		v.running = slices.DeleteFunc(v.running, func(o *job) bool { return o == task })
		task.done(decide.OK)
		for len(v.waiting) > 0 && v.busyCores < v.cores {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			if !next.dropped {
				v.start(next)
			}
		}
	})
}

// remaining returns the time until the last arrival.
func (s *sim) remaining() time.Duration { return max(s.set.Duration-s.now, 0) }

// countSlowStart adds the time for which the server will be cold to coldCoreSeconds. The server starts now.
func (v *server) countSlowStart() {
	v.sim.coldCoreSeconds += float64(v.cores) * min(slowStartWindow, v.sim.remaining()).Seconds()
}

// restart restarts the server: its open requests are reset, and it is cold afterwards.
func (v *server) restart() {
	if v.inSlowStart() {
		v.sim.coldCoreSeconds -= float64(v.cores) * min(v.startedAt+slowStartWindow-v.sim.now, v.sim.remaining()).Seconds()
	}
	v.countSlowStart()
	v.finishSlowStart()
	v.startedAt, v.busyCores = v.sim.now, 0
	for _, j := range append(v.running, v.waiting...) {
		j.done(decide.ConnectionReset)
	}
	v.running, v.waiting, v.cachedKeys = nil, nil, make(map[uint64]time.Duration)
}
