package fleetsim

import (
	"slices"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/slowstart"
)

// server is one box: cores, a queue, and the keys it met lately.
type server struct {
	sim            *sim
	id             decide.ServerID
	site           int
	cores          int
	speed          float64
	startedAt      time.Duration // 0 for long ago
	busyCores      int
	running        []*job
	waiting        []*job
	cachedKeys     map[uint64]time.Duration
	slowStartCalls slowstart.Monitor // of what came while it was cold, by calls
	slowStartWork  slowstart.Monitor // likewise by their work
	announcedCalls slowstart.Monitor // by calls, once all may know of it, or from the first moment for one that was away
	silent         bool              // it says nothing
	returned       bool              // it was away
	overloaded     bool              // it was sent too much since
	faulty         bool              // it fails half of what it gets
	state          decide.ServerState
}

// inSlowStart says whether a server has not been up for long.
func (v *server) inSlowStart() bool {
	return v.startedAt > 0 && v.sim.now-v.startedAt < slowStartWindow
}

// currentSpeed is how fast each of its cores works now.
func (v *server) currentSpeed() float64 {
	if !v.inSlowStart() {
		return v.speed
	}
	return v.speed * (slowStartShare + (1-slowStartShare)*float64(v.sim.now-v.startedAt)/float64(slowStartWindow))
}

// slowStartRule is what pushes a cold server over.
var slowStartRule = slowstart.Rule{Multiple: overloadMultiple, Window: overloadWindow}

// countArrival notes what came to a cold server within a second, against what it can do, and whether
// the node that sent it was told of the start.
func (v *server) countArrival(work time.Duration, told bool) {
	if !v.inSlowStart() {
		return
	}
	s, rate := v.sim, v.currentSpeed()*float64(v.cores)/meanWork()
	v.slowStartCalls.Rule, v.slowStartWork.Rule, v.announcedCalls.Rule = slowStartRule, slowStartRule, slowStartRule
	v.slowStartCalls.Arrive(s.now, rate, 1, told)
	v.slowStartWork.Arrive(s.now, rate, work.Seconds()/meanWork(), told)
	if !v.returned && s.now-v.startedAt < listDelay+overloadWindow {
		return // nobody knew of it all that second
	}
	most := v.announcedCalls.Arrive(s.now, rate, 1, told).Ratio() * overloadMultiple
	if !v.returned {
		s.res.MaxSlowStartLoad = max(s.res.MaxSlowStartLoad, most)
		return
	}
	s.res.BackMost = max(s.res.BackMost, most)
	if most > overloadMultiple && !v.overloaded && s.now-v.startedAt <= listDelay+overloadWindow {
		v.overloaded = true
		s.res.Overloaded++
	}
}

// finishSlowStart ends the watch on a server's start.
func (v *server) finishSlowStart() {
	v.sim.res.SlowStartCalls.Add(&v.slowStartCalls)
	v.sim.res.SlowStartWork.Add(&v.slowStartWork)
	v.slowStartCalls, v.slowStartWork, v.announcedCalls = slowstart.Monitor{}, slowstart.Monitor{}, slowstart.Monitor{}
}

// failZone has the first site go, and come back.
func (s *sim) failZone() {
	for _, v := range s.servers {
		if v.site == 0 {
			v.silent = true
			v.startedAt, v.busyCores, v.running, v.waiting = s.now, 0, nil, nil // what it held says nothing
		}
	}
	dies := func(b *balancerNode) bool { return s.set.Lost.Nodes && b.site == 0 }
	for i, b := range s.balancers {
		if dies(b) {
			s.kill(i)
		}
	}
	s.after(s.set.Lost.For, func() {
		for _, v := range s.servers {
			if v.silent {
				// One after the other, within a second.
				s.after(time.Duration(s.rng.Float64()*float64(time.Second)), func() {
					v.finishSlowStart()
					v.silent, v.returned, v.startedAt, v.cachedKeys = false, true, s.now, make(map[uint64]time.Duration)
					v.countSlowStart()
					s.after(listDelay, s.announceServers)
				})
			}
		}
		for i, b := range s.balancers {
			if dies(b) {
				s.begin(i)
			}
		}
	})
}

// meanWork is that of a request, in core seconds of the yardstick.
func meanWork() (mean float64) {
	for _, c := range classes {
		mean += c.share * c.work.Seconds()
	}
	return mean
}

// job is one attempt at its server.
type job struct {
	req     *request
	work    time.Duration
	told    bool // its node had been told of the server's start
	started bool
	dead    bool // called off before it began, or its server restarted
	done    func(decide.Result)
}

func (v *server) arrive(j *job) {
	v.countArrival(j.work, j.told)
	switch {
	case j.dead, v.silent:
	case v.busyCores < v.cores:
		v.begin(j)
	case len(v.waiting) < queuePerCore*v.cores:
		v.waiting = append(v.waiting, j)
	default:
		j.done(decide.Overloaded)
	}
}

func (v *server) begin(j *job) {
	j.started = true
	j.req.ran++
	if j.req.ran == 2 && classes[j.req.class].Idempotency == decide.NotIdempotent {
		v.sim.res.Twice++
	}
	v.running = append(v.running, j)
	v.busyCores++
	work := float64(j.work)
	if last, met := v.cachedKeys[j.req.key]; met && v.sim.now-last < keyCacheTime {
		work *= 1 - keyCacheSaving
	}
	v.cachedKeys[j.req.key] = v.sim.now
	born, takes := v.startedAt, time.Duration(work/v.currentSpeed())
	if v.inSlowStart() {
		v.sim.res.SlowStartUse += takes.Seconds()
	} else {
		v.sim.res.WarmUse += takes.Seconds()
	}
	v.sim.after(takes, func() {
		if v.startedAt != born {
			return // it restarted meanwhile
		}
		v.busyCores--
		v.running = slices.DeleteFunc(v.running, func(o *job) bool { return o == j })
		j.done(decide.OK)
		for len(v.waiting) > 0 && v.busyCores < v.cores {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			if !next.dead {
				v.begin(next)
			}
		}
	})
}

// remaining is how long the run still takes requests.
func (s *sim) remaining() time.Duration { return max(s.set.For-s.now, 0) }

// countSlowStart counts the time in which a server that begins now is cold.
func (v *server) countSlowStart() {
	v.sim.coldTime += float64(v.cores) * min(slowStartWindow, v.sim.remaining()).Seconds()
}

// restart ends all that the server holds; it comes back cold.
func (v *server) restart() {
	if v.inSlowStart() {
		v.sim.coldTime -= float64(v.cores) * min(v.startedAt+slowStartWindow-v.sim.now, v.sim.remaining()).Seconds()
	}
	v.countSlowStart()
	v.finishSlowStart()
	v.startedAt, v.busyCores = v.sim.now, 0
	for _, j := range append(v.running, v.waiting...) {
		j.done(decide.ConnectionReset)
	}
	v.running, v.waiting, v.cachedKeys = nil, nil, make(map[uint64]time.Duration)
}
