package httpserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"jasperpin/internal/core"
)

// statusWithoutAnswer maps the status of a request without a server's answer to its HTTP status.
var statusWithoutAnswer = map[core.Status]int{
	core.Rejected: http.StatusServiceUnavailable,
	core.Failed:   http.StatusBadGateway,
}

// rejectBadRequest answers an invalid request and closes its connection: after invalid input it is not certain
// where the next request begins, and the rest of a body would be read as requests. A client that makes a single
// mistake needs a new connection. An err that is not a *requestError is answered 400.
func rejectBadRequest(w http.ResponseWriter, conn *clientConn, err error) {
	var bad *requestError
	if !errors.As(err, &bad) {
		bad = &requestError{http.StatusBadRequest, err.Error()}
	}
	// Without this deadline net/http would wait for the rest of the body, which may never arrive. If the deadline
	// cannot be set, the connection is already closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	w.Header().Set("Connection", "close")
	http.Error(w, bad.text, bad.status)
	conn.endIncomplete(w)
}

// writeFinal writes the request's final answer. If the answer cannot be written completely, it aborts the
// connection with the panic that net/http provides for this purpose.
func (x *exchange) writeFinal(final core.Final) {
	w := x.w
	if final.Answer == nil {
		writeStatus(w, statusWithoutAnswer[final.Status], final.RetryAfter, x.target.Plain)
		return
	}
	writeHead(w, final.Answer)
	_, err := w.Write(final.Answer.Body)
	final.Answer.ReleaseBody()
	if final.Answer.StreamedBody == nil {
		return // net/http closes the connection if the write has failed
	}
	defer final.Answer.StreamedBody.Close()
	if err == nil {
		err = streamAnswer(w, final.Answer.StreamedBody)
	}
	if err != nil { // the client must be able to detect that the answer is incomplete
		if !x.httpRequest.ProtoAtLeast(1, 1) { // it would take the end of the connection for that of the answer
			x.conn.reset()
		}
		panic(http.ErrAbortHandler)
	}
}

// writeHead writes the status and headers of a server's answer.
func writeHead(w http.ResponseWriter, answer *core.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // the server sent none, and net/http must not guess one
	}
	hasBody := answer.StatusCode != http.StatusNoContent && answer.StatusCode != http.StatusNotModified
	if answer.ContentLength >= 0 && hasBody {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.StatusCode)
}

// streamAnswer copies the rest of an answer to the client as it arrives. Its error wraps the error of the
// server's or the client's connection.
func streamAnswer(w http.ResponseWriter, rest io.Reader) error {
	buf := streamBuffers.Get().(*[streamChunkBytes]byte)
	defer streamBuffers.Put(buf)
	controller := http.NewResponseController(w)
	for {
		if err := controller.Flush(); err != nil { // bytes that have arrived are not delayed
			return fmt.Errorf("flushing an answer to the client: %w", err)
		}
		n, err := rest.Read(buf[:])
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return fmt.Errorf("writing an answer to the client: %w", err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("reading an answer from the server: %w", err)
		}
	}
}

// writeStatus writes an answer of the node itself, without a body. Retry-After is sent if retryAfter is above
// 0.
func writeStatus(w http.ResponseWriter, status int, retryAfter time.Duration, plain bool) {
	setRetryAfter(w, retryAfter, plain)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// setRetryAfter sets the Retry-After header if the wait is above 0. The platform's protocol allows
// decimals, since whole seconds are longer than most latency objectives; plain HTTP does not.
func setRetryAfter(w http.ResponseWriter, wait time.Duration, plain bool) {
	digits, seconds := 3, wait.Seconds()
	if plain {
		digits, seconds = 0, math.Ceil(seconds)
	}
	if seconds > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', digits, 64))
	}
}

// writeProblem writes an error with a title, in the format of RFC 9457. The connection stays open, since the
// end of the request is known.
func writeProblem(w http.ResponseWriter, status int, title string) {
	body, err := json.Marshal(struct {
		Title  string `json:"title"`
		Status int    `json:"status"`
	}{title, status})
	if err != nil {
		body = nil // the status alone is sufficient
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // if it fails, net/http closes the connection
}
