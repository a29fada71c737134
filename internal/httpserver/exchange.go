package httpserver

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/invariant"
	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
	"jasperpin/internal/service"
)

// rejectedRetryAfter is when a client whose answer there was no room for may ask again.
const rejectedRetryAfter = time.Second

// readinessPath is the path of the platform's readiness probes.
const readinessPath = "/up"

// exchange processes one request from its head to its answer. It belongs to the goroutine of its connection.
type exchange struct {
	server      *Server
	w           http.ResponseWriter
	httpRequest *http.Request
	controller  *http.ResponseController
	conn        *clientConn
	target      service.Target
	request     *core.Request
	// requestTarget is the path and the query as the client sent them.
	requestTarget string
	keyText       string // text of the Idempotency-Key; "" if the node stores no keys of the class
	upload        *upload
	headHold      memoryHold // of a long head
	body          []byte     // the buffered part of the body
	bodyEnded     bool       // releaseBody has been called
	buffered      bool       // body is complete; otherwise the rest streams through upload
	counts        *metrics.Class
	claim         *keyClaim // claim of the Idempotency-Key; nil if the request has none
}

// ServeHTTP writes the one answer to a request. It implements http.Handler and is called only by net/http.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connFrom(r.Context())
	head, recognised := conn.nextHead()
	s.closeWhileDraining(w, conn)
	switch {
	case isReadinessProbe(r):
		s.answerReadiness(w)
		return
	case isServerOptions(r) && recognised && !head.Ambiguous && r.ContentLength == 0:
		w.Header().Set("Content-Length", "0")
		return
	}
	if !recognised || head.Ambiguous {
		// net/http reads a request with both framings as a chunked one and removes the length, so that bytes
		// that another implementation reads as a second request pass as a body (request smuggling).
		rejectBadRequest(w, conn, &requestError{http.StatusBadRequest, "it is not clear where the body ends"})
		return
	}
	x := &exchange{server: s, w: w, httpRequest: r, controller: http.NewResponseController(w), conn: conn}
	if err := x.readHead(); err != nil {
		rejectBadRequest(w, conn, err)
		return
	}
	x.headHold.begin(&s.memory, conn.takeHeadNeed())
	defer x.headHold.end()
	x.upload = x.newUpload()
	defer x.releaseBody()
	if x.readBody() {
		x.serve()
	}
}

// closeWhileDraining lets the answer being prepared be the last one on its connection if the server drains. A request
// that has already been read behind it is answered first.
func (s *Server) closeWhileDraining(w http.ResponseWriter, conn *clientConn) {
	if s.draining.Load() && !conn.hasNextRequest() {
		w.Header().Set("Connection", "close")
	}
}

func isReadinessProbe(r *http.Request) bool {
	return r.URL.Path == readinessPath && (r.Method == http.MethodGet || r.Method == http.MethodHead)
}

// isServerOptions reports whether a request asks for the options of the server as a whole, which every client may use
// as a probe.
func isServerOptions(r *http.Request) bool {
	return r.Method == http.MethodOptions && r.RequestURI == "*"
}

func (s *Server) answerReadiness(w http.ResponseWriter) {
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readHead resolves the request's target and parses its head. Its error is a *requestError.
func (x *exchange) readHead() (err error) {
	if x.target, err = x.server.resolve(x.httpRequest); err != nil {
		return err
	}
	var ok bool
	if x.requestTarget, ok = requestTarget(x.httpRequest); !ok {
		return &requestError{http.StatusBadRequest, "want a path, or the URL of an http or https resource"}
	}
	if _, ok := core.TargetURL(x.requestTarget); !ok {
		return &requestError{http.StatusBadRequest, "the path cannot be forwarded unchanged"}
	}
	if x.request, err = x.server.parse(x.httpRequest, x.target); err != nil {
		return err
	}
	if x.target.KeyPolicy != nil {
		x.keyText, err = parseKeyText(x.httpRequest, x.target.KeyPolicy)
	}
	return err
}

// newUpload returns the reader of the body. Its grace period is the rest of the request's time to arrive.
func (x *exchange) newUpload() *upload {
	body := &upload{
		body: x.httpRequest.Body, controller: x.controller, memory: &x.server.memory, connEnded: x.conn.ended, restArrived: x.conn.requestHasArrived, maxBytes: x.target.MaxBody,
		length: x.httpRequest.ContentLength, unread: x.conn.unreadBytes, lastWait: time.Now(),
		grace:      max(bodyGrace, requestTimeout-x.conn.sinceRequestStart()),
		clientTime: func() time.Duration { return time.Until(x.conn.unreadSince().Add(x.request.Timeout)) },
	}
	body.hold.begin(body.memory, limit.RequestNeed{})
	return body
}

// readBody buffers as much of the body as memory allows. It returns false if the request has been answered.
func (x *exchange) readBody() bool {
	var err error
	x.body, x.buffered, err = x.upload.buffer(x.httpRequest.ContentLength)
	switch {
	case errors.Is(err, errBodyMemory):
		x.rejectWithoutRoom(&x.server.admission.BodiesRejected, "body")
		return false
	case err != nil && x.conn.readingStopped.Load():
		x.rejectUnread()
		return false
	case err != nil:
		rejectBadRequest(x.w, x.conn, &requestError{http.StatusBadRequest, "body cut short or malformed"})
		return false
	case x.httpRequest.Method == http.MethodGet && (len(x.body) > 0 || !x.buffered) && !x.target.Plain:
		rejectBadRequest(x.w, x.conn, &requestError{http.StatusBadRequest, "the class takes no body"})
		return false
	}
	if x.buffered {
		_ = x.controller.SetReadDeadline(time.Time{}) // fails on a closed connection, which later reads and writes report
	}
	return true
}

// beginStream waits for the room to stream the rest of the body. It returns false if the request has been answered.
func (x *exchange) beginStream() bool {
	began := time.Now()
	if !x.upload.beginStream() {
		x.rejectWithoutRoom(&x.server.admission.UploadsRejected, "upload")
		return false
	}
	if time.Since(began) < invariant.DisconnectSlack/2 {
		return true
	}
	// The client may have left meanwhile, which shows only once the unread bytes are read.
	more := make([]byte, streamChunkBytes)
	n, err := x.upload.Read(more)
	x.body = append(x.body, more[:n]...)
	x.buffered = errors.Is(err, io.EOF)
	if short := x.httpRequest.ContentLength > int64(len(x.body)); err != nil && (!x.buffered || short) {
		rejectBadRequest(x.w, x.conn, &requestError{http.StatusBadRequest, "body cut short or malformed"})
		return false
	}
	return true
}

// rejectWithoutRoom counts a request that there is no room for, for the given reason, and answers 503.
func (x *exchange) rejectWithoutRoom(count *atomic.Uint64, reason string) {
	count.Add(1)
	x.server.log.Debug("no room for a request", "request_id", x.request.ID, "reason", reason)
	x.rejectUnread()
}

// rejectUnread answers 503 to a request whose body is not read to its end: the server has stopped reading, or has no
// memory for it.
func (x *exchange) rejectUnread() {
	_ = x.controller.SetReadDeadline(pastDeadline) // otherwise net/http would first read some of the body
	x.w.Header().Set("Connection", "close")
	writeStatus(x.w, http.StatusServiceUnavailable, 0, false)
	x.conn.endIncomplete(x.w)
}

// serve processes and answers a request after readBody has buffered its body or the beginning of it.
func (x *exchange) serve() {
	if !x.buffered && !x.beginStream() {
		return
	}
	var open bool
	if x.request.ReceivedAt, open = x.conn.beginRequest(); !open {
		panic(http.ErrAbortHandler) // the connection was closed while the body was incomplete
	}
	registry := x.server.services.Metrics
	registry.OpenRequests.Add(1)
	defer registry.OpenRequests.Add(-1)
	x.counts = x.target.ClassMetrics(x.request.Class)
	defer x.conn.endRequest()
	x.prepareMessage()
	if !x.buffered {
		defer x.upload.stop() // the body must not be read after the handler has returned
	}
	defer x.releaseClaim()
	if x.target.KeyPolicy != nil && !x.claimKey(true) {
		return
	}
	x.admitAndRun()
}

// prepareMessage sets the message that is forwarded to a server.
func (x *exchange) prepareMessage() {
	request, r := x.request, x.httpRequest
	request.Message = core.Message{
		Method: r.Method, Target: x.requestTarget, Host: r.Host, Header: core.RemoveHopByHopHeaders(r.Header, x.target.TenantHeader),
		Body: x.body, ContentLength: int64(len(x.body)),
	}
	request.Presence = x.conn.presence
	request.NewAnswerMemory = x.newAnswerMemory
	if !x.buffered {
		request.StreamedBody, request.ContentLength = x.upload, r.ContentLength
		request.BodySentAt = x.upload.sentAt
		request.Presence = func() core.ClientPresence { return x.conn.presenceWhileStreaming(x.upload.lastRead()) }
		// Without full duplex an answer would wait for the rest of the body. The call fails only for HTTP
		// versions other than 1.x, which this server does not support.
		_ = x.controller.EnableFullDuplex()
	}
	if x.target.Plain {
		addForwardedFor(request.Header, r.RemoteAddr)
	}
}

// newAnswerMemory returns the memory of an answer to the request.
func (x *exchange) newAnswerMemory() core.AnswerMemory {
	return &answerMemory{memory: &x.server.memory, refused: &x.server.admission.AnswersNotStored}
}

// admitAndRun waits for admission to the service and the pool, submits the request and answers it.
func (x *exchange) admitAndRun() {
	admissionRequest := service.AdmissionRequest{
		Tenant: tenantOf(x.httpRequest, x.target), BodyBytes: len(x.body),
		Deadline: x.request.ReceivedAt.Add(x.request.Timeout),
	}
	admission, err := x.server.services.Admit(x.httpRequest.Context(), x.target, admissionRequest)
	if err != nil {
		if x.httpRequest.Context().Err() != nil {
			panic(http.ErrAbortHandler) // the client has disconnected
		}
		x.shed(err)
		return
	}
	end := service.OutcomeNeutral
	defer func() { admission.Release(end) }()
	open := x.submit()
	if open == nil {
		return
	}
	final := x.awaitFinal(open)
	if end = service.OutcomeFailed; final.Status == core.Served {
		end = service.OutcomeServed
	}
	x.answer(final)
}

// shed answers a request that was not admitted, and so never ran. err is a *service.Rejection; for any other
// error the answer is 503 without Retry-After.
func (x *exchange) shed(err error) {
	var rejection *service.Rejection
	if !errors.As(err, &rejection) {
		rejection = &service.Rejection{}
	}
	x.server.log.Debug("request shed before reaching its pool",
		"request_id", x.request.ID, "reason", string(rejection.Reason), "err", err)
	status := http.StatusServiceUnavailable
	if rejection.TenantLimited {
		status = http.StatusTooManyRequests
	}
	abandoned := x.abandonUpload()
	writeStatus(x.w, status, rejection.RetryAfter, x.target.Plain)
	x.counts.Rejected.Add(1)
	if abandoned {
		x.endAbandoned()
	}
}

// abandonUpload ends the reading of a streamed body, and reports whether the body was not read to its end. Its rest would
// be read as the next request: the answer, which must not be written yet, is the last one on its connection.
func (x *exchange) abandonUpload() (abandoned bool) {
	if x.buffered {
		return false
	}
	x.upload.stop()
	if !x.upload.abandoned() {
		return false
	}
	x.w.Header().Set("Connection", "close")
	return true
}

// submit submits the request to its pool. If a reload has retired the pool, it routes the request again. It
// returns nil if the request has been answered.
func (x *exchange) submit() (open *core.OpenRequest) {
	released := x.shareMemory()
	defer func() {
		if open == nil { // also if an answer has ended the connection by a panic
			released()
		}
	}()
	open, err := x.target.Submit(x.request)
	for errors.Is(err, core.ErrRetired) {
		if !x.reroute() {
			return nil
		}
		open, err = x.target.Submit(x.request)
	}
	if err != nil {
		rejectBadRequest(x.w, x.conn, &requestError{http.StatusConflict, "Req-Id is in use"})
		return nil
	}
	if x.claim != nil {
		x.claim.submitted = true
	}
	return open
}

// shareMemory lets the pool, too, hold the memory of the head and the body, if any has been taken: its attempts use both.
// It returns the function that ends this.
func (x *exchange) shareMemory() (released func()) {
	head, body := &x.headHold, &x.upload.hold
	if head.need.Bytes+body.need.Bytes == 0 {
		return func() {}
	}
	head.share()
	body.share()
	x.request.Released = func() {
		head.end()
		body.end()
	}
	return x.request.Released
}

// reroute resolves the request with the current configuration, and claims its key there. It returns false if the request
// has been answered.
func (x *exchange) reroute() bool {
	retired := x.target.Pool
	var err error
	if x.target, err = x.server.resolve(x.httpRequest); err == nil {
		x.request, err = x.server.reparse(x.httpRequest, x.target, x.request)
	}
	if err != nil {
		rejectBadRequest(x.w, x.conn, err)
		return false
	}
	if x.target.Pool == retired { // the node is shutting down; there was no reload
		x.shed(&service.Rejection{Reason: service.ReasonShutdown})
		return false
	}
	return x.claimKeyAgain()
}

// awaitFinal waits for the request's final answer. If the client disconnects meanwhile, its request is cancelled.
func (x *exchange) awaitFinal(open *core.OpenRequest) (final core.Final) {
	select {
	case final = <-open.Final():
	case <-x.httpRequest.Context().Done():
		if !x.upload.closedByNode() {
			x.target.ClientDisconnected(open)
		}
		final = <-open.Final()
	}
	if final.Status == core.StatusClientDisconnected {
		if x.claim != nil {
			x.claim.submitted = false // the request never ran
		}
		panic(http.ErrAbortHandler)
	}
	return final
}

// answer writes the final answer and counts it.
func (x *exchange) answer(final core.Final) {
	abandoned := x.abandonUpload()
	x.releaseBody()
	if final.Answer != nil && final.Answer.StreamedBody != nil {
		if x.server.streams.begin(x.conn, x.earliestDeadline()) {
			defer x.server.streams.end(x.conn)
		} else {
			final = x.withoutAnswer(final)
		}
	}
	if x.claim != nil {
		x.claim.recordFinal(&final)
	}
	x.checkAnswerTime()
	x.server.closeWhileDraining(x.w, x.conn)
	x.writeFinal(final)
	switch final.Status {
	case core.Served:
		x.counts.Served.Add(1)
	case core.Rejected:
		x.counts.Rejected.Add(1)
	case core.Failed:
		x.counts.Failed.Add(1)
	}
	if abandoned {
		x.endAbandoned()
	}
}

// earliestDeadline returns the client's deadline or, for a request whose body streams, the earliest time that it may be.
func (x *exchange) earliestDeadline() time.Time {
	if x.buffered {
		return x.clientDeadline()
	}
	return x.upload.sentAt().Add(x.request.Timeout)
}

// releaseBody lets go of the request's body, once: the answer does not need it. Its memory is released when no attempt uses
// it any more.
func (x *exchange) releaseBody() {
	if x.bodyEnded {
		return
	}
	x.bodyEnded = true
	answered := *x.request
	answered.Message = core.Message{}
	x.request, x.body = &answered, nil
	x.upload.hold.end()
}

// endAbandoned ends the connection of a request that has been answered although the rest of its body was not read. The
// connection may be closed for another one from now on.
func (x *exchange) endAbandoned() {
	if x.controller.Flush() == nil {
		x.conn.stopAnswering()
		x.upload.discardRest()
	}
	panic(http.ErrAbortHandler) // net/http would wait once more for the client to read the answer
}

// withoutAnswer drops an answer that there is no room to forward, and returns the final answer in its place: the request
// has run.
func (x *exchange) withoutAnswer(final core.Final) core.Final {
	x.server.admission.AnswersDropped.Add(1)
	x.server.log.Debug("no room for an answer", "request_id", x.request.ID)
	final.Answer.ReleaseBody()
	final.Answer.StreamedBody.Close()
	if x.target.Classes()[x.request.Class].Idempotency == decide.Idempotent {
		return core.Final{Status: core.Rejected, RetryAfter: rejectedRetryAfter}
	}
	return core.Final{Status: core.Failed}
}

// checkAnswerTime reports a final answer later than its client's timeout as an invariant violation: the pool's
// timers should have answered before. The timeout of a streamed request has no fixed start.
func (x *exchange) checkAnswerTime() {
	if !x.buffered {
		return
	}
	late := time.Since(x.request.ReceivedAt.Add(x.request.Timeout))
	if late > invariant.AnswerSlack {
		x.server.services.Metrics.Violations.Record(invariant.AnsweredLate, x.request.ID, "late", late)
	}
}
