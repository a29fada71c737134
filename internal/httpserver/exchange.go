package httpserver

import (
	"errors"
	"net/http"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/invariant"
	"jasperpin/internal/metrics"
	"jasperpin/internal/service"
)

// exchange is one request on its way through the front, from its head to its answer.
type exchange struct {
	front  *Front
	w      http.ResponseWriter
	hr     *http.Request
	rc     *http.ResponseController
	conn   *clientConn
	target service.Target
	q      *core.Request
	key    string // its text, where the node keeps keys of the class
	up     *upload
	body   []byte // what has been kept of it
	whole  bool   // that is all of it
	count  *metrics.Class
	claim  *claim // on its key; nil for none
}

// ServeHTTP gives a request its one answer.
func (f *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	conn := connOf(hr.Context())
	defer conn.ended()
	head, told := conn.head()
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if hr.URL.Path == "/up" && (hr.Method == http.MethodGet || hr.Method == http.MethodHead) {
		if f.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if !told || head.Unclear {
		// net/http takes a request with both framings for a chunked one and hides the
		// length, so that what another reader would see as a second request passes as a
		// body.
		complain(w, &complaint{http.StatusBadRequest, "it is not clear where the body ends"})
		return
	}
	x := &exchange{front: f, w: w, hr: hr, rc: http.NewResponseController(w), conn: conn}
	if fault := x.read(); fault != nil {
		complain(w, fault)
		return
	}
	x.up = &upload{body: hr.Body, rc: x.rc, room: &f.room, most: x.target.Body, slack: max(bodySlack, requestWait-conn.writing())}
	defer x.up.free()
	if x.receive() {
		x.serve()
	}
}

// read finds where the request goes, and reads what its head says.
func (x *exchange) read() (fault *complaint) {
	if x.target, fault = x.front.find(x.hr); fault != nil {
		return fault
	}
	if x.q, fault = x.front.parse(x.hr, x.target); fault != nil {
		return fault
	}
	if x.target.Keyed != nil {
		x.key, fault = keyText(x.hr, x.target.Keyed)
	}
	return fault
}

// receive reads the body, as much of it as may be kept. It says false where the request has been answered.
func (x *exchange) receive() bool {
	var err error
	x.body, x.whole, err = x.up.keep(x.hr.ContentLength)
	switch {
	case err != nil && !x.conn.cut.Load():
		complain(x.w, &complaint{http.StatusBadRequest, "body cut short or malformed"})
		return false
	case err != nil:
		x.w.Header().Set("Connection", "close")
		if own(x.w, http.StatusServiceUnavailable, 0, false); x.rc.Flush() == nil {
			x.conn.leave()
		}
		return false
	case x.hr.Method == http.MethodGet && (len(x.body) > 0 || !x.whole) && !x.target.Plain:
		complain(x.w, &complaint{http.StatusBadRequest, "the class takes no body"})
		return false
	}
	if x.whole {
		_ = x.rc.SetReadDeadline(time.Time{})
	}
	return true
}

// serve takes the request, has it carried out, and answers it.
func (x *exchange) serve() {
	x.q.ReceivedAt = x.conn.came()
	if !x.conn.take() {
		panic(http.ErrAbortHandler)
	}
	board := x.front.set.Figures
	board.Open.Add(1)
	defer board.Open.Add(-1)
	x.count = x.target.Counts(x.q.Class)
	defer x.conn.served()
	x.prepare()
	if !x.whole {
		defer x.up.Close() // nobody reads it once this has returned
	}
	if x.target.Keyed != nil {
		var answered bool
		if x.claim, answered = x.claimKey(); answered {
			return
		}
		if x.claim != nil {
			defer x.claim.end()
			x.q.Awaited = x.claim.Awaited
		}
	}
	x.pass()
}

// prepare makes the message that goes on to a server.
func (x *exchange) prepare() {
	q, hr := x.q, x.hr
	q.Message = core.Message{
		Method: hr.Method, Target: targetOf(hr), Host: hr.Host, Header: core.EndToEnd(hr.Header),
		Body: x.body, Length: int64(len(x.body)),
	}
	q.Presence = x.conn.here
	if !x.whole {
		q.Rest, q.Length = x.up, hr.ContentLength
		q.Presence = x.conn.hereOfStream // what waits to be read is its body
		_ = x.rc.EnableFullDuplex()      // or an answer would wait for the rest of the body
	}
	if x.target.Plain {
		forwarded(q.Header, hr.RemoteAddr)
	}
}

// claimKey has the request run under its key, or answers it.
func (x *exchange) claimKey() (own *claim, answered bool) {
	if !x.target.Plain && x.target.Classes()[x.q.Class].Idempotency == decide.NotIdempotent {
		delete(x.q.Header, keyHeader) // servers take none with such a class
	}
	return x.front.claim(x.w, x.hr, x.target, x.key, x.q, x.up)
}

// pass passes the service's and the pool's lines, and has the request carried out.
func (x *exchange) pass() {
	ask := service.Ask{Tenant: tenant(x.hr, x.target), Bytes: len(x.body), Due: x.q.ReceivedAt.Add(x.q.Timeout)}
	pass, err := x.front.set.Enter(x.hr.Context(), x.target, ask)
	if err != nil {
		if x.hr.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		x.refuse(err)
		return
	}
	end := service.Void
	defer func() { pass.Leave(end) }()
	held := x.arrive()
	if held == nil {
		return
	}
	fin := x.await(held)
	if end = service.Unserved; fin.Status == core.Served {
		end = service.Served
	}
	x.answer(fin)
}

// refuse answers a request that was not let in.
func (x *exchange) refuse(err error) {
	x.front.refuse(x.w, x.q.ID, err, x.target.Plain)
	x.count.Throttled.Add(1)
}

// arrive hands the request to its pool. It gives nil where the request has been answered.
func (x *exchange) arrive() *core.Exchange {
	held, err := x.target.Arrive(x.q)
	for errors.Is(err, core.ErrRetired) { // the configuration has changed meanwhile
		was := x.target.Pool
		var fault *complaint
		if x.target, fault = x.front.find(x.hr); fault == nil {
			x.q, fault = x.front.reparse(x.hr, x.target, x.q)
		}
		if fault != nil {
			complain(x.w, fault)
			return nil
		}
		if x.target.Pool == was { // the node has ended
			x.refuse(&service.Refusal{Reason: service.ReasonEnding})
			return nil
		}
		held, err = x.target.Arrive(x.q)
	}
	if err != nil {
		complain(x.w, &complaint{http.StatusConflict, "Req-Id is in use"})
		return nil
	}
	if x.claim != nil {
		x.claim.arrived = true
	}
	return held
}

// await waits for the request's end, or its client's going.
func (x *exchange) await(held *core.Exchange) (fin core.Final) {
	select {
	case fin = <-held.Final():
	case <-x.hr.Context().Done():
		if !x.up.ours() {
			x.target.Gone(held)
		}
		fin = <-held.Final()
	}
	if fin.Status == core.ClientLeft {
		if x.claim != nil {
			x.claim.arrived = false // nothing of it has run
		}
		panic(http.ErrAbortHandler)
	}
	return fin
}

// answer gives the client its final answer, and books it.
func (x *exchange) answer(fin core.Final) {
	if x.claim != nil {
		x.claim.ended(&fin)
	}
	if !x.whole {
		x.up.Close()
	}
	cut := x.up.cut()
	if cut { // the rest of the body would be read as requests of its own
		x.w.Header().Set("Connection", "close")
	}
	if late := time.Since(x.q.ReceivedAt.Add(x.q.Timeout)); x.whole && late > invariant.AnswerSlack {
		x.front.set.Figures.Broken.Broken(invariant.AnsweredLate, x.q.ID, "late", late)
	}
	x.front.answer(x.w, fin, x.target.Plain)
	switch fin.Status {
	case core.Served:
		x.count.Fulfilled.Add(1)
	case core.Rejected:
		x.count.Throttled.Add(1)
	case core.Failed:
		x.count.Faulted.Add(1)
	}
	if cut && x.rc.Flush() == nil {
		x.up.discard()
	}
}
