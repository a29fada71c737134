package httpclient

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"jasperpin/internal/core"
)

// Headers between nodes and servers, in canonical form.
const (
	headerDeadline = "Req-Deadline-Ms" // the node's timeout, in whole milliseconds
	headerDeclined = "Srv-Declined"    // "1" with a 503 or 504: the request never ran
)

// newRequest builds the request of an attempt, with path, query and body byte for byte as the client sent them.
// The timeout is sent to the server in whole milliseconds, at least 1.
func newRequest(message *core.Message, addr string, timeout time.Duration) *http.Request {
	header := http.Header(message.Header).Clone()
	header.Set(headerDeadline, strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // otherwise net/http sends its own
	}
	target, ok := core.TargetURL(message.Target)
	if !ok { // the HTTP server has rejected such a target; without a scheme it is written as an invalid one
		target = &url.URL{Opaque: message.Target}
	}
	target.Host = addr
	req := &http.Request{
		Method: message.Method, URL: target, Host: message.Host,
		Header: header, Body: http.NoBody, ContentLength: int64(len(message.Body)),
	}
	switch {
	case message.StreamedBody != nil:
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(message.Body), message.StreamedBody))
		req.ContentLength = message.ContentLength
	case len(message.Body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(message.Body))
	}
	return req
}
