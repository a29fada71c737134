package httpserver

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/idempotency"
	"jasperpin/internal/idempotency/store"
	"jasperpin/internal/limit"
	"jasperpin/internal/service"
)

// Headers of a replayed answer, in canonical form.
const (
	headerReplayed    = "Idempotent-Replayed" // "true": the answer is a replay of the answer to an earlier request
	headerBodyDropped = "Idempotent-Body"     // "dropped": the body of the answer was too long to be stored
)

// keyRetryAfter is the minimum Retry-After of a request whose key was not accepted, or that could not wait for
// the first request: keys become free when requests end and records expire, which takes at least this long.
const keyRetryAfter = time.Second

// parseKeyText returns the text of a request's Idempotency-Key, or "" for none. Its error is a *requestError.
func parseKeyText(r *http.Request, policy *service.KeyPolicy) (string, error) {
	text, err := idempotency.ParseText(r.Header[headerKey])
	if err != nil {
		return "", &requestError{http.StatusBadRequest, err.Error()}
	}
	if text == "" && policy.Required {
		return "", &requestError{http.StatusBadRequest, "the class wants one Idempotency-Key"}
	}
	return text, nil
}

// claimKey decides whether the request runs or is a repeat. It returns false if the request has been answered:
// a repeat gets the answer to the first request, and waits for it if mayWait is set. Otherwise the request runs. x.claim
// is nil if the request has no key, or if the store is full and the class allows a request to run without its key.
func (x *exchange) claimKey(mayWait bool) (runs bool) {
	if !x.target.Plain && x.target.Classes()[x.request.Class].Idempotency == decide.NotIdempotent {
		// Servers accept no key for such a class. The client's own header is needed if the request is routed again.
		x.request.Header = maps.Clone(x.request.Header)
		delete(x.request.Header, headerKey)
	}
	if x.keyText == "" && !x.target.KeyPolicy.Fingerprint {
		return true
	}
	digester := idempotency.NewDigester(x.request.Method, x.request.Target)
	_, _ = digester.Write(x.request.Body) // writing to a hash never fails
	key, digest, ok := x.storeKey(digester)
	if !ok {
		return false
	}
	decision := x.target.KeyPolicy.Begin(key, digest)
	if decision.Verdict == idempotency.NeedDigest {
		// The key is in use and this body is still streaming: only the digest of the complete body
		// distinguishes a repeat from another request.
		if _, err := io.Copy(digester, x.upload); err != nil {
			rejectBadRequest(x.w, x.conn, &requestError{http.StatusBadRequest, "body cut short or malformed"})
			return false
		}
		decision = x.target.KeyPolicy.Begin(key, digester.Sum())
	}
	if decision.Verdict != idempotency.Wait {
		return x.applyVerdict(decision, digester)
	}
	if !mayWait {
		decision.Claim.Abandon()
		x.shed(x.target.KeyRejection(keyRetryAfter))
		return false
	}
	if decision, ok = x.awaitFirstRequest(decision.Claim); !ok {
		return false
	}
	if decision.Verdict == idempotency.Replay {
		x.server.services.Metrics.Repeats.Waited.Add(1)
	}
	return x.applyVerdict(decision, digester)
}

// keyScope is where the text of a key identifies one request.
type keyScope struct {
	keyStore      *store.KeyStore
	tenant, class string
}

// keyScope returns the scope of keys at the request's target, which has a KeyPolicy.
func (x *exchange) keyScope() keyScope {
	return keyScope{
		keyStore: x.target.KeyPolicy.KeyStore,
		tenant:   x.target.Service.Name + "/" + tenantOf(x.httpRequest, x.target), class: x.target.KeyPolicy.Name,
	}
}

// claimKeyAgain decides whether a request that has been routed again, before it has run, runs at its new target. Its key
// is claimed there if that is another scope, so that its repeats are recognized. The request does not wait for another one:
// it holds a slot of its service, which the other one may need. claimKeyAgain returns false if the request has been answered.
func (x *exchange) claimKeyAgain() (runs bool) {
	policy := x.target.KeyPolicy
	if x.claim != nil && policy != nil && x.claim.scope == x.keyScope() {
		return true
	}
	x.releaseClaim()
	x.claim, x.request.HasWaiters = nil, nil
	x.request.Header = x.httpRequest.Header
	if policy == nil {
		return true
	}
	var err error
	if x.keyText, err = parseKeyText(x.httpRequest, policy); err != nil {
		rejectBadRequest(x.w, x.conn, err)
		return false
	}
	return x.claimKey(false)
}

// releaseClaim ends the request's claim, if it has one. It does not change the request, which attempts may still use.
func (x *exchange) releaseClaim() {
	if x.claim != nil {
		x.claim.release()
	}
}

// storeKey returns the request's key in the store, and the digest of the request, which is zero while the body
// is streaming. A request without a key text is identified by its digest, and is rejected while the digest is
// unknown. storeKey returns false if the request has been answered.
func (x *exchange) storeKey(digester idempotency.Digester) (key idempotency.Key, digest idempotency.Digest, ok bool) {
	scope := x.keyScope()
	key = idempotency.Key{Tenant: scope.tenant, Class: scope.class, Text: x.keyText}
	if x.buffered {
		digest = digester.Sum()
	}
	switch {
	case x.keyText != "":
	case x.buffered:
		key.Text = digest.KeyText()
	case len(x.request.Body) >= limit.MaxHeldBody:
		rejectBadRequest(x.w, x.conn, &requestError{
			http.StatusRequestEntityTooLarge, "body too long for a class whose repeats are told by what they say",
		})
		return key, digest, false
	default: // memory for bodies is short
		x.shed(x.target.KeyRejection(keyRetryAfter))
		return key, digest, false
	}
	return key, digest, true
}

// awaitFirstRequest waits for the first request with the same key, until the client's deadline or the end of a drain at
// the latest. It returns false if the request has been answered.
func (x *exchange) awaitFirstRequest(claim *store.Claim) (decision store.Decision, ok bool) {
	ctx, stop := x.server.services.UntilEnd(x.httpRequest.Context())
	defer stop()
	decision, err := claim.Wait(ctx, x.clientDeadline())
	switch {
	case errors.Is(err, store.ErrWaitTimeout), err != nil && errors.Is(context.Cause(ctx), service.ErrEnding): // the first request may have run
		writeStatus(x.w, http.StatusGatewayTimeout, 0, x.target.Plain)
		x.counts.Failed.Add(1)
		return decision, false
	case err != nil:
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	return decision, true
}

// clientDeadline returns the client's deadline. The timeout of a request whose body streams begins with the end
// of that body.
func (x *exchange) clientDeadline() time.Time {
	if x.buffered {
		return x.request.ReceivedAt.Add(x.request.Timeout)
	}
	return time.Now().Add(x.request.Timeout)
}

// applyVerdict carries out the decision of the key store. It returns false if the request has been answered.
func (x *exchange) applyVerdict(decision store.Decision, digester idempotency.Digester) (runs bool) {
	counts := &x.server.services.Metrics.Repeats
	switch decision.Verdict {
	case idempotency.Run:
		return x.runWithKey(decision.Claim, digester)
	case idempotency.Replay:
		counts.Answered.Add(1)
		x.replay(decision.Answer)
	case idempotency.Mismatch:
		counts.Mismatched.Add(1)
		writeProblem(x.w, http.StatusUnprocessableEntity, "the Idempotency-Key was used for another request")
	case idempotency.Busy:
		counts.Busy.Add(1)
		setRetryAfter(x.w, x.target.KeyRejection(keyRetryAfter).RetryAfter, x.target.Plain)
		writeProblem(x.w, http.StatusConflict, "the first request under the Idempotency-Key still runs")
	case idempotency.Full:
		counts.StoreFull.Add(1)
		x.shed(x.target.KeyRejection(max(decision.RetryAfter, keyRetryAfter)))
	default:
		counts.RanWithoutKey.Add(1)
		return true
	}
	return false
}

// runWithKey sets the claim of a request that is to run. It returns false if the request has been answered: its
// body was consumed to compute the digest, and cannot be sent any more.
func (x *exchange) runWithKey(claim *store.Claim, digester idempotency.Digester) (runs bool) {
	if !x.buffered {
		if x.upload.complete() {
			claim.Settle(idempotency.NeverRan, store.Answer{})
			x.shed(x.target.KeyRejection(keyRetryAfter))
			return false
		}
		x.request.StreamedBody = &digestingBody{x.upload, digester, claim}
	}
	x.claim = &keyClaim{Claim: claim, scope: x.keyScope()}
	x.request.HasWaiters = claim.HasWaiters
	return true
}

// replay answers a repeat with the answer to the first request.
func (x *exchange) replay(answer store.Answer) {
	header := map[string][]string{headerReplayed: {"true"}}
	if answer.Trimmed {
		header[headerBodyDropped] = []string{"dropped"}
	}
	for name, values := range answer.Header {
		header[name] = values
	}
	x.server.closeWhileDraining(x.w, x.conn)
	x.writeFinal(core.Final{Answer: &core.Answer{
		StatusCode: answer.Code, Header: header, Body: answer.Body, ContentLength: int64(len(answer.Body)),
	}})
	if answer.Code >= http.StatusInternalServerError {
		x.counts.Failed.Add(1)
		return
	}
	x.counts.Served.Add(1)
}

// keyClaim is the claim of a request that runs with a key. The claim is settled exactly once, however the
// request ends.
type keyClaim struct {
	*store.Claim
	scope     keyScope
	submitted bool // the request was submitted to a pool and may run
	settled   bool
	streamed  *store.AnswerCopy // copy of a streaming answer; nil for none
	answer    store.Answer      // status and header of the streaming answer
}

// recordFinal settles the claim with the request's final answer. A streaming answer is copied while it is
// written to the client, and release settles the claim.
func (c *keyClaim) recordFinal(final *core.Final) {
	switch {
	case final.Status == core.Rejected:
		c.settle(idempotency.NeverRan, store.Answer{})
	case final.Status == core.Failed:
		c.settle(idempotency.MayHaveRun, store.Answer{Code: statusWithoutAnswer[core.Failed]})
	case final.Answer.StreamedBody == nil:
		c.settle(idempotency.Answered, store.Answer{Code: final.Answer.StatusCode, Header: final.Answer.Header, Body: final.Answer.Body})
	default:
		c.answer = store.Answer{Code: final.Answer.StatusCode, Header: final.Answer.Header}
		c.streamed = c.scope.keyStore.CopyAnswer(final.Answer.Body, final.Answer.StreamedBody)
		final.Answer.StreamedBody = c.streamed
	}
}

func (c *keyClaim) settle(how idempotency.Outcome, answer store.Answer) {
	c.settled = true
	c.Settle(how, answer)
}

// release settles a claim that recordFinal has not settled: the claim of a request whose answer has streamed, or
// of a request that was cancelled or not submitted.
func (c *keyClaim) release() {
	switch {
	case c.settled:
	case c.streamed != nil:
		body, complete := c.streamed.Body()
		c.answer.Body, c.answer.Trimmed = body, !complete
		c.settle(idempotency.Answered, c.answer)
	case c.submitted:
		c.settle(idempotency.MayHaveRun, store.Answer{Code: statusWithoutAnswer[core.Failed]})
	default:
		c.settle(idempotency.NeverRan, store.Answer{})
	}
}

// digestingBody is a streaming body that passes its digest to the store when its last byte has been read.
type digestingBody struct {
	*upload
	digester idempotency.Digester
	claim    *store.Claim
}

func (b *digestingBody) Read(p []byte) (int, error) {
	n, err := b.upload.Read(p)
	_, _ = b.digester.Write(p[:n]) // writing to a hash never fails
	if errors.Is(err, io.EOF) {
		b.claim.SetDigest(b.digester.Sum())
	}
	return n, err
}
