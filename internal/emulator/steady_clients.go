package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// steadyTimeout is how long a steady client waits for an answer, and steadySlack how long after its time an answer is
// not late.
const (
	steadyTimeout = 2500 * time.Millisecond
	steadySlack   = 500 * time.Millisecond
	steadyPause   = 60 * time.Millisecond
)

// SteadyResult is what steady clients have received.
type SteadyResult struct {
	OK      int           // answers 200
	Refused int           // answers 429 and 503
	Other   int           // other answers
	Lost    int           // requests without an answer whose connection did not end
	Closed  []string      // ids of requests whose new connection ended without an answer
	Late    int           // answers later than the clients wait
	Slowest time.Duration // the longest time until an answer
}

// Sent returns the number of requests.
func (r SteadyResult) Sent() int { return r.OK + r.Refused + r.Other + r.Lost + len(r.Closed) }

func (r SteadyResult) String() string {
	return fmt.Sprintf("%d of %d answered 200, %d refused, %d others, %d lost, %d late, the slowest after %v, %d closed",
		r.OK, r.Sent(), r.Refused, r.Other, r.Lost, r.Late, r.Slowest.Round(time.Millisecond), len(r.Closed))
}

// SteadyClients are clients that send one request after another, each on a connection of its own that it keeps. A
// request that crosses the end of a kept connection is sent once more on a new one.
type SteadyClients struct {
	Addr    string
	Clients int
	// Request returns a request without a body, whose client waits for some milliseconds.
	Request func(id string, timeoutMS int64) string

	mu     sync.Mutex
	result SteadyResult
}

// Run runs the clients until ctx is done, and returns what they have received.
func (s *SteadyClients) Run(ctx context.Context) SteadyResult {
	var clients sync.WaitGroup
	for i := range s.Clients {
		clients.Go(func() {
			client := steadyClient{addr: s.Addr}
			defer client.close()
			for n := 0; Sleep(ctx, steadyPause); n++ {
				id := fmt.Sprintf("steady-%d-%d", i, n)
				status, took, err := client.send(s.Request(id, steadyTimeout.Milliseconds()))
				s.record(id, status, took, err)
			}
		})
	}
	clients.Wait()
	return s.result
}

// record counts an answer, or an error in place of one.
func (s *SteadyClients) record(id string, status int, took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Slowest = max(s.result.Slowest, took)
	if took > steadyTimeout+steadySlack {
		s.result.Late++
	}
	switch {
	case err != nil && took < steadyTimeout:
		s.result.Closed = append(s.result.Closed, id)
	case err != nil:
		s.result.Lost++
	case status == http.StatusOK:
		s.result.OK++
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		s.result.Refused++
	default:
		s.result.Other++
	}
}

// steadyClient is one client and its connection.
type steadyClient struct {
	addr   string
	conn   net.Conn // nil if there is none
	reader *bufio.Reader
}

// send sends a request and returns the status of its answer, and the time from its last byte to that of the answer.
func (c *steadyClient) send(request string) (status int, took time.Duration, err error) {
	kept := c.conn != nil
	status, took, err = c.sendOnce(request)
	if err != nil && kept && took < steadyTimeout {
		status, took, err = c.sendOnce(request)
	}
	return status, took, err
}

func (c *steadyClient) sendOnce(request string) (status int, took time.Duration, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.addr, steadyTimeout); err != nil {
			return 0, 0, fmt.Errorf("connecting to a node: %w", err)
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_, err = io.WriteString(c.conn, request)
	sent := time.Now()
	var response *http.Response
	if err == nil {
		_ = c.conn.SetReadDeadline(sent.Add(2 * steadyTimeout))
		response, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	took = time.Since(sent)
	if err != nil || response.Close {
		c.close()
	}
	if err != nil {
		return 0, took, fmt.Errorf("reading an answer: %w", err)
	}
	return response.StatusCode, took, nil
}

func (c *steadyClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
