package httpserver

import (
	"cmp"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/route"
	"jasperpin/internal/service"
)

// Headers of the platform's protocol, in canonical form.
const (
	headerRequestID   = "Req-Id"
	headerDeadline    = "Req-Deadline-Ms" // the client's timeout, in whole milliseconds
	headerClientRetry = "Req-Retry"       // "1" for a client retry
	headerCost        = "Req-Cost"        // the client's estimate of the work, in microseconds
	headerKey         = "Idempotency-Key"
	headerForwarded   = "X-Forwarded-For"
)

// maxCostMicroseconds limits a client's estimate of the work; a larger one is invalid and ignored.
const maxCostMicroseconds = 1e9

// requestError is the reason for which a request is rejected as invalid. The client receives the status, with
// the text as the body.
type requestError struct {
	status int
	text   string
}

func (e *requestError) Error() string { return e.text }

// resolve returns the service, pool and class of a request. Its error is a *requestError.
func (s *Server) resolve(r *http.Request) (service.Target, error) {
	target, err := s.services.Find(r.Host, route.Query{Path: cmp.Or(r.URL.EscapedPath(), "/"), Method: r.Method})
	switch {
	case errors.Is(err, service.ErrNoRoute):
		return target, &requestError{http.StatusNotFound, "no service takes this host and path"}
	case err != nil:
		return target, &requestError{http.StatusBadRequest, err.Error()}
	}
	return target, nil
}

// parse returns the properties of a request that the pool needs, except for its message. Its error is a
// *requestError.
func (s *Server) parse(r *http.Request, target service.Target) (*core.Request, error) {
	number, ok := target.Pool.Class(target.Class)
	if !ok {
		return nil, &requestError{http.StatusNotFound, "unknown class"}
	}
	class := &target.Classes()[number]
	request := &core.Request{Class: number, AffinityKey: objectKey(r)}
	if target.Plain {
		return request, s.parsePlain(r, target.MaxBody, class, request)
	}
	return request, parsePlatform(r, target, class, request)
}

// reparse parses a request again, for another pool. The body, which has already been read, and the state of the
// client are copied from the old request.
func (s *Server) reparse(r *http.Request, target service.Target, old *core.Request) (*core.Request, error) {
	request, err := s.parse(r, target)
	if err != nil {
		return nil, err
	}
	request.Message, request.ReceivedAt = old.Message, old.ReceivedAt
	request.Presence, request.HasWaiters, request.BodySentAt = old.Presence, old.HasWaiters, old.BodySentAt
	request.NewAnswerMemory, request.Released = old.NewAnswerMemory, old.Released
	return request, nil
}

// parsePlatform parses a request of the platform's protocol: its class prescribes the method and whether an
// Idempotency-Key is present. Its error is a *requestError.
func parsePlatform(r *http.Request, target service.Target, class *decide.Class, request *core.Request) error {
	keys, wantKeys := len(r.Header[headerKey]), 0
	method := http.MethodPost
	switch class.Idempotency {
	case decide.Idempotent:
		method, keys = http.MethodGet, 0 // a key has no effect
	case decide.IdempotentWithKey:
		wantKeys = 1
	default:
		if target.KeyPolicy != nil {
			keys = 0 // this node stores the keys, and servers receive none
		}
	}
	milliseconds, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	switch {
	case r.Method != method:
		return &requestError{http.StatusMethodNotAllowed, "the class takes " + method}
	case keys != wantKeys:
		return &requestError{http.StatusBadRequest, "Idempotency-Key contradicts the class"}
	case r.ContentLength > target.MaxBody:
		return &requestError{http.StatusRequestEntityTooLarge, "body too long"}
	case method == http.MethodGet && r.ContentLength > 0:
		return &requestError{http.StatusBadRequest, "the class takes no body"}
	case len(r.Header[headerRequestID]) != 1 || r.Header.Get(headerRequestID) == "":
		return &requestError{http.StatusBadRequest, "not one Req-Id"}
	case err != nil || milliseconds <= 0:
		return &requestError{http.StatusBadRequest, "Req-Deadline-Ms is not a number above 0"}
	}
	request.ID = r.Header.Get(headerRequestID)
	request.Timeout = clientTimeout(class, milliseconds)
	request.ClientRetry = r.Header.Get(headerClientRetry) == "1"
	request.WorkHint = workHint(r)
	return nil
}

// parsePlain parses a request of plain HTTP. An idempotent class accepts only GET, HEAD and OPTIONS. The server
// assigns the request's ID. The timeout is the class's deadline unless the client sends a shorter one. maxBody
// is in bytes. The error is a *requestError.
func (s *Server) parsePlain(r *http.Request, maxBody int64, class *decide.Class, request *core.Request) error {
	reads := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	switch {
	case r.ContentLength > maxBody:
		return &requestError{http.StatusRequestEntityTooLarge, "body too long"}
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.Header.Get("Upgrade") != "":
		return &requestError{http.StatusNotImplemented, "no tunnels and no upgrades"}
	case class.Idempotency == decide.Idempotent && !reads:
		return &requestError{http.StatusMethodNotAllowed, "the class takes GET, HEAD and OPTIONS"}
	case class.Idempotency == decide.IdempotentWithKey && len(r.Header[headerKey]) != 1:
		return &requestError{http.StatusBadRequest, "the class wants one Idempotency-Key"}
	}
	request.ID = strconv.FormatUint(s.nextRequestID.Add(1), 36)
	request.Timeout = cmp.Or(class.Deadline, core.MaxClientTimeout)
	if text := r.Header.Get(headerDeadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds <= 0 {
			return &requestError{http.StatusBadRequest, "Req-Deadline-Ms is not a number above 0"}
		}
		request.Timeout = clientTimeout(class, milliseconds)
	}
	return nil
}

// clientTimeout returns how long a client waits for its answer: the client's timeout, limited to the class's
// deadline for all attempts together.
func clientTimeout(class *decide.Class, milliseconds int64) time.Duration {
	longest := cmp.Or(class.Deadline, core.MaxClientTimeout)
	milliseconds = min(milliseconds, longest.Milliseconds()+1) // the conversion might overflow otherwise
	return min(time.Duration(milliseconds)*time.Millisecond, longest)
}

// workHint returns the client's estimate of the work of a request, or 0 if there is no valid one.
func workHint(r *http.Request) time.Duration {
	microseconds, err := strconv.ParseFloat(r.Header.Get(headerCost), 64)
	if err == nil && microseconds > 0 && microseconds < maxCostMicroseconds {
		return time.Duration(microseconds * float64(time.Microsecond))
	}
	return 0
}

// objectKey returns a hash of the last part of the path, which names the object that a request is about. It is
// the same on every node, and 0 if the path has only one part.
func objectKey(r *http.Request) uint64 {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	name := rest[strings.LastIndexByte(rest, '/')+1:]
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // writing to a hash never fails
	return max(h.Sum64(), 1)
}

// tenantOf returns the tenant of a request, or "" if the service has no tenants.
func tenantOf(r *http.Request, target service.Target) string {
	if target.TenantHeader == "" {
		return ""
	}
	return r.Header.Get(target.TenantHeader)
}

// requestTarget returns path and query as the client sent them, without the scheme and host of the absolute form. It
// returns false for a target in another form, which no server is asked for.
func requestTarget(r *http.Request) (target string, ok bool) {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI, true
	}
	scheme, rest, _ := strings.Cut(r.RequestURI, "://")
	isHTTP := strings.EqualFold(scheme, "http") || strings.EqualFold(scheme, "https")
	if !isHTTP || r.URL.Host == "" {
		return "", false
	}
	pathStart := strings.IndexAny(rest, "/?")
	switch {
	case pathStart < 0:
		return "/", true
	case rest[pathStart] == '?':
		return "/" + rest[pathStart:], true
	}
	return rest[pathStart:], true
}

// addForwardedFor appends the client's address to the X-Forwarded-For header.
func addForwardedFor(header map[string][]string, remoteAddr string) {
	host, _, err := net.SplitHostPort(remoteAddr)
	if err != nil {
		return // a Unix socket's client has no address
	}
	header[headerForwarded] = []string{strings.Join(append(header[headerForwarded], host), ", ")}
}
