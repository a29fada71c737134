// Package slowstart measures whether a fleet stays within the slow-start budget of a server. A server
// that has just started has less than its full capacity. Within any window of a fixed length, all nodes
// together may send it a multiple of the requests that its present capacity can handle. Package decide
// makes the decisions that enforce this; package slowstart checks them, for simulations and emulated
// servers. It does no I/O and reads no clock.
package slowstart

import (
	"math"
	"time"
)

// Rule defines the slow-start budget of a server: a multiple of its present capacity, within a window.
type Rule struct {
	Multiple float64
	Window   time.Duration
}

// Budget returns the number of requests of mean work that a server may be sent within a window, if it
// currently answers rate of them per second.
func (r Rule) Budget(rate float64) float64 { return r.Multiple * rate * r.Window.Seconds() }

// ChanceAllowance returns by how much the requests sent may exceed a budget by chance, in requests of
// mean work: nodes that do not coordinate send like a Poisson process.
func ChanceAllowance(budget float64) float64 { return 2*math.Sqrt(budget) + 2 }

// WindowLoad is the load of one window, in requests of mean work.
type WindowLoad struct {
	Sent         float64
	SentInformed float64       // part of Sent, by nodes that had been informed of the start
	Budget       float64       // as of the window's end
	EndsAt       time.Duration // time of the window's end
}

// Excess returns the load sent beyond the budget, in units of ChanceAllowance. Above 1 the server is overloaded.
func (l WindowLoad) Excess() float64 { return (l.Sent - l.Budget) / ChanceAllowance(l.Budget) }

// Ratio returns the load sent as a multiple of the budget.
func (l WindowLoad) Ratio() float64 { return l.Sent / l.Budget }

// OverloadedByInformedNodes reports whether the window overloaded its server and over two thirds of its load came
// from nodes that had been informed of the start.
func (l WindowLoad) OverloadedByInformedNodes() bool {
	return l.Excess() > 1 && l.SentInformed > l.Sent*2/3
}

// arrival is one request that reached the server.
type arrival struct {
	at       time.Duration
	work     float64 // in requests of mean work
	informed bool    // its node had been informed of the server's start
}

// Monitor measures the load of one server after one start. The zero value with a Rule is ready for use.
// It is not safe for concurrent use.
type Monitor struct {
	Rule
	recent         []arrival   // the arrivals within the window
	sent, informed float64     // sums over recent
	WorstExcess    WindowLoad  // the window with the highest Excess
	WorstRatio     WindowLoad  // the window with the highest Ratio
	Overload       *WindowLoad // the first window that overloaded the server; nil for none
}

// Arrive records a request that reached the server and returns the load of the window that ends with it.
// Requests must arrive in order of time. rate is the number of requests of mean work that the server
// currently answers per second, work is the request's work relative to the mean, and informed means that
// the sending node had been informed of the server's start.
func (m *Monitor) Arrive(at time.Duration, rate, work float64, informed bool) WindowLoad {
	m.recent = append(m.recent, arrival{at, work, informed})
	m.count(work, informed)
	m.dropBefore(at - m.Window)
	load := WindowLoad{Sent: m.sent, SentInformed: m.informed, Budget: m.Budget(rate), EndsAt: at}
	if m.WorstExcess.Budget == 0 || load.Excess() > m.WorstExcess.Excess() {
		m.WorstExcess = load
	}
	if m.WorstRatio.Budget == 0 || load.Ratio() > m.WorstRatio.Ratio() {
		m.WorstRatio = load
	}
	if m.Overload == nil && load.Excess() > 1 {
		m.Overload = &load
	}
	return load
}

// dropBefore removes the arrivals up to and including a time from the window.
func (m *Monitor) dropBefore(start time.Duration) {
	for m.recent[0].at <= start {
		m.count(-m.recent[0].work, m.recent[0].informed)
		m.recent = m.recent[1:]
	}
}

func (m *Monitor) count(work float64, informed bool) {
	m.sent += work
	if informed {
		m.informed += work
	}
}

// Totals sums up the results of many starts. The zero value is an empty sum.
type Totals struct {
	Starts                    int     // starts of servers that were sent any request
	Overloaded                int     // starts in which the server was overloaded
	OverloadedByInformedNodes int     // part of Overloaded, mainly by nodes that had been informed of the start
	WorstExcess               float64 // highest WorstExcess
	WorstRatio                float64 // highest WorstRatio
	MinBudget                 float64 // lowest budget among the windows of highest excess
}

// Merge adds other to t.
func (t *Totals) Merge(other Totals) {
	if other.Starts == 0 {
		return
	}
	if t.Starts == 0 {
		*t = other
		return
	}
	t.Starts += other.Starts
	t.Overloaded += other.Overloaded
	t.OverloadedByInformedNodes += other.OverloadedByInformedNodes
	t.WorstExcess = max(t.WorstExcess, other.WorstExcess)
	t.WorstRatio = max(t.WorstRatio, other.WorstRatio)
	t.MinBudget = min(t.MinBudget, other.MinBudget)
}

// Add adds a start whose slow start is over. A server that was sent no request does not count.
func (t *Totals) Add(m *Monitor) {
	if m.WorstExcess.Budget == 0 {
		return
	}
	one := Totals{Starts: 1, WorstExcess: m.WorstExcess.Excess(), WorstRatio: m.WorstRatio.Ratio(), MinBudget: m.WorstExcess.Budget}
	if m.Overload != nil {
		one.Overloaded = 1
		if m.Overload.OverloadedByInformedNodes() {
			one.OverloadedByInformedNodes = 1
		}
	}
	t.Merge(one)
}
