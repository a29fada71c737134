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
	headerDeadline = "Req-Deadline-Ms" // the node's time-out, in whole milliseconds
	headerDeclined = "Srv-Declined"    // "1" with a 503 or 504: the request has not run
)

// newRequest builds an attempt's request: path, query and body byte for byte as the client sent them.
// timeout is announced to the server, as one millisecond at least.
func newRequest(m *core.Message, addr string, timeout time.Duration) *http.Request {
	header := http.Header(m.Header).Clone()
	header.Set(headerDeadline, strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // or net/http would send its own
	}
	req := &http.Request{
		Method: m.Method, URL: &url.URL{Scheme: "http", Host: addr, Opaque: m.Target}, Host: m.Host,
		Header: header, Body: http.NoBody, ContentLength: int64(len(m.Body)),
	}
	switch {
	case m.StreamedBody != nil:
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(m.Body), m.StreamedBody))
		req.ContentLength = m.ContentLength
	case len(m.Body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	return req
}
