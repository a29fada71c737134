package httpserver

import (
	"errors"
	"io"
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
	headerReplayed    = "Idempotent-Replayed" // "true": the answer is that of an earlier request
	headerBodyDropped = "Idempotent-Body"     // "dropped": its body was too long to be kept
)

// keyRetryAfter is the least Retry-After of a request whose key was not accepted, or that could not wait
// for the first request: keys become free as runs end and records expire, which takes this long or more.
const keyRetryAfter = time.Second

// parseKeyText returns the text of a request's Idempotency-Key, "" for none. Its error is a
// *requestError.
func parseKeyText(r *http.Request, rule *service.KeyPolicy) (string, error) {
	text, err := idempotency.ParseText(r.Header[headerKey])
	if err != nil {
		return "", &requestError{http.StatusBadRequest, err.Error()}
	}
	if text == "" && rule.Required {
		return "", &requestError{http.StatusBadRequest, "the class wants one Idempotency-Key"}
	}
	return text, nil
}

// claimKey decides whether the request runs under its key, or is a repeat. It returns false where the
// request has been answered: a repeat gets the answer of the first request, which it may have to wait for.
// Otherwise the request runs: with x.claim set, or without where it has no key, or where its class allows
// it to run though the store is full.
func (x *exchange) claimKey() (runs bool) {
	if !x.target.Plain && x.target.Classes()[x.request.Class].Idempotency == decide.NotIdempotent {
		delete(x.request.Header, headerKey) // servers accept none with such a class
	}
	if x.keyText == "" && !x.target.KeyPolicy.Fingerprint {
		return true
	}
	digester := idempotency.NewDigester(x.request.Method, x.request.Target)
	_, _ = digester.Write(x.request.Body) // a hash never fails
	key, digest, ok := x.storeKey(digester)
	if !ok {
		return false
	}
	decision := x.target.KeyPolicy.Begin(key, digest)
	if decision.Verdict == idempotency.NeedDigest {
		// The key is in use, and this body still streams: only the digest of all of it tells a repeat
		// from another request.
		if _, err := io.Copy(digester, x.upload); err != nil {
			rejectBadRequest(x.w, &requestError{http.StatusBadRequest, "body cut short or malformed"})
			return false
		}
		decision = x.target.KeyPolicy.Begin(key, digester.Sum())
	}
	if decision.Verdict != idempotency.Wait {
		return x.followVerdict(decision, digester)
	}
	if decision, ok = x.awaitFirstRun(decision.Claim); !ok {
		return false
	}
	if decision.Verdict == idempotency.Replay {
		x.server.services.Metrics.Repeats.Waited.Add(1)
	}
	return x.followVerdict(decision, digester)
}

// storeKey returns the request's key in the store, and the digest of the request, which is zero while its
// body still streams. A request without a key text is identified by its digest, and is rejected while
// that is unknown. It returns false where the request has been answered.
func (x *exchange) storeKey(digester idempotency.Digester) (key idempotency.Key, digest idempotency.Digest, ok bool) {
	key = idempotency.Key{
		Tenant: x.target.Service.Name + "/" + tenantOf(x.httpRequest, x.target),
		Class:  x.target.KeyPolicy.Name, Text: x.keyText,
	}
	if x.buffered {
		digest = digester.Sum()
	}
	switch {
	case x.keyText != "":
	case x.buffered:
		key.Text = "\x00" + string(digest[:]) // no header can hold a zero byte
	case len(x.request.Body) >= limit.MaxHeldBody:
		rejectBadRequest(x.w, &requestError{
			http.StatusRequestEntityTooLarge, "body too long for a class whose repeats are told by what they say",
		})
		return key, digest, false
	default: // memory for bodies is short
		x.shed(x.target.KeyRejection(keyRetryAfter))
		return key, digest, false
	}
	return key, digest, true
}

// awaitFirstRun waits for the first request under the key, no longer than the client does. It returns
// false where the request has been answered.
func (x *exchange) awaitFirstRun(claim *store.Claim) (decision store.Decision, ok bool) {
	decision, err := claim.Wait(x.httpRequest.Context(), x.clientDeadline())
	switch {
	case errors.Is(err, store.ErrWaitTimeout): // the first request may have run
		writeStatus(x.w, http.StatusGatewayTimeout, 0, x.target.Plain)
		x.counts.Failed.Add(1)
		return decision, false
	case err != nil:
		panic(http.ErrAbortHandler) // the client has disconnected
	}
	return decision, true
}

// clientDeadline is when the client gives up. The time-out of a request whose body streams begins with the
// end of that body.
func (x *exchange) clientDeadline() time.Time {
	if x.buffered {
		return x.request.ReceivedAt.Add(x.request.Timeout)
	}
	return time.Now().Add(x.request.Timeout)
}

// followVerdict does what the store has decided. It returns false where the request has been answered.
func (x *exchange) followVerdict(decision store.Decision, digester idempotency.Digester) (runs bool) {
	counts := &x.server.services.Metrics.Repeats
	switch decision.Verdict {
	case idempotency.Run:
		return x.runUnderKey(decision.Claim, digester)
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

// runUnderKey takes the claim of a request that runs. It returns false where the request has been answered:
// its body was read away for the digest, and cannot be sent any more.
func (x *exchange) runUnderKey(claim *store.Claim, digester idempotency.Digester) (runs bool) {
	if !x.buffered {
		if x.upload.complete() {
			claim.Settle(idempotency.NeverRan, store.Answer{})
			x.shed(x.target.KeyRejection(keyRetryAfter))
			return false
		}
		x.request.StreamedBody = &digestingBody{x.upload, digester, claim}
	}
	x.claim = &keyClaim{Claim: claim, keyStore: x.target.KeyPolicy.KeyStore}
	return true
}

// replay answers a repeat with the answer of the first request.
func (x *exchange) replay(answer store.Answer) {
	header := map[string][]string{headerReplayed: {"true"}}
	if answer.Trimmed {
		header[headerBodyDropped] = []string{"dropped"}
	}
	for name, values := range answer.Header {
		header[name] = values
	}
	x.server.writeFinal(x.w, core.Final{Answer: &core.Answer{
		StatusCode: answer.Code, Header: header, Body: answer.Body, ContentLength: int64(len(answer.Body)),
	}}, x.target.Plain)
	if answer.Code >= http.StatusInternalServerError {
		x.counts.Failed.Add(1)
		return
	}
	x.counts.Served.Add(1)
}

// keyClaim is the claim of a request that runs under its key. It settles the claim
// exactly once, however the run ends.
type keyClaim struct {
	*store.Claim
	keyStore  *store.KeyStore
	submitted bool // to a pool: it may run
	settled   bool
	streamed  *store.AnswerCopy // copy of an answer that streams; nil for none
	answer    store.Answer      // status and header of that answer
}

// recordFinal settles the claim by the run's final answer. Where that streams it is copied as it passes,
// and release settles the claim.
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
		c.streamed = c.keyStore.CopyAnswer(final.Answer.Body, final.Answer.StreamedBody)
		final.Answer.StreamedBody = c.streamed
	}
}

func (c *keyClaim) settle(how idempotency.Outcome, answer store.Answer) {
	c.settled = true
	c.Settle(how, answer)
}

// release settles a claim that is not settled yet: of a run whose answer has streamed, or that was
// given up.
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

// digestingBody is a streaming body that reports its digest to the store with its last byte.
type digestingBody struct {
	*upload
	digester idempotency.Digester
	claim    *store.Claim
}

func (b *digestingBody) Read(p []byte) (int, error) {
	n, err := b.upload.Read(p)
	_, _ = b.digester.Write(p[:n]) // a hash never fails
	if errors.Is(err, io.EOF) {
		b.claim.SetDigest(b.digester.Sum())
	}
	return n, err
}
