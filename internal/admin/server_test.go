package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// recorder is an Operator that records which servers are out of rotation.
type recorder struct{ out map[string]bool }

func (r *recorder) Ready() error { return nil }
func (r *recorder) Metrics(w *bytes.Buffer) error {
	_, err := fmt.Fprintf(w, "svc.open_requests=%d\n", len(r.out))
	return err
}
func (*recorder) Members(w *bytes.Buffer) error    { w.WriteString("{}\n"); return nil }
func (*recorder) BeginFleet() error                { return nil }
func (*recorder) MemberEnded(string, string) error { return nil }
func (r *recorder) Exclude(id string) error {
	if strings.HasPrefix(id, "s-") {
		r.out[id] = true
		return nil
	}
	return errors.New("no such\nserver")
}
func (r *recorder) Include(id string) error { delete(r.out, id); return nil }

// TestAnswer checks the answer to each call, and the error for lines that are not valid calls.
func TestAnswer(t *testing.T) {
	r := &recorder{out: make(map[string]bool)}
	for _, c := range []struct{ line, want string }{
		{"readyz\n", "done\n"},
		{"readyz\r\n", "done\n"},
		{"  exclude   s-1  \n", "done\n"},
		{"telemetry\n", "done\nsvc.open_requests=1\nend\n"},
		{"include s-1\n", "done\n"},
		{"telemetry", "done\nsvc.open_requests=0\nend\n"},
		{"exclude x\n", "error no such server\n"},
		{"\n", "error empty call\n"},
		{"exclude\n", "error exclude: want 1 arguments, got 0\n"},
		{"readyz now\n", "error readyz: want 0 arguments, got 1\n"},
		{"Readyz\n", "error unknown call \"Readyz\": readyz, telemetry, exclude ID, include ID, members, begin-fleet or member-ended NAME LIFE\n"},
	} {
		if got := Answer(r, c.line); got != c.want {
			t.Errorf("%q: the answer is %q, want %q", c.line, got, c.want)
		}
	}
}

func startServer(t *testing.T) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(ln, &recorder{out: make(map[string]bool)}, slog.New(slog.DiscardHandler))
	t.Cleanup(s.Close)
	return s
}

// send sends text and returns all that the server sends until it closes the connection.
func send(t *testing.T, s *Server, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(conn, text)
	b, _ := io.ReadAll(conn) // a reset also ends the answer
	return string(b)
}

// TestSilentCallersDoNotDelayOthers opens three times as many connections as the server allows, which
// send nothing or half a line: complete calls are still answered at once.
func TestSilentCallersDoNotDelayOthers(t *testing.T) {
	s := startServer(t)
	for i := range 3 * MaxConns {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(conn, "exclu")
		}
		if i%3 == 0 {
			began := time.Now()
			if got := send(t, s, "readyz\n"); got != "done\n" {
				t.Fatalf("with %d silent callers: the answer to readyz is %q, want done", i+1, got)
			}
			if took := time.Since(began); took > readTimeout/2 {
				t.Errorf("with %d silent callers: readyz was answered after %v, want at most half of readTimeout", i+1, took)
			}
		}
	}
}

// TestIncompleteCalls sends incomplete calls, and one that is too long: the server answers with an
// error or closes the connection.
func TestIncompleteCalls(t *testing.T) {
	s := startServer(t)
	if got := send(t, s, "exclude s-1"); got != "error incomplete call: the end of the line is missing\n" {
		t.Errorf("the answer to half a line is %q, want the error for an incomplete call", got)
	}
	if got := send(t, s, ""); got != "" {
		t.Errorf("the answer to an empty call is %q, want none", got)
	}
	if got := send(t, s, strings.Repeat("x", MaxCallBytes)); !strings.HasPrefix(got, "error call too long: want at most") {
		t.Errorf("the answer to an endless line is %q, want the error for a long call", got)
	}
	if got := send(t, s, "readyz\nreadyz\n"); got != "done\n" {
		t.Errorf("the answer to two calls on a connection is %q, want one done", got)
	}
}

// FuzzAnswer calls Answer with any line: the answer has complete lines and begins with done or error.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{"readyz", "telemetry", "exclude s-1", "include s-\x00", "exclude a b", "\xff\xfe", "exclude " + strings.Repeat("y", 300)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		got := Answer(&recorder{out: make(map[string]bool)}, line)
		if !strings.HasPrefix(got, "done\n") && !strings.HasPrefix(got, "error ") || !strings.HasSuffix(got, "\n") {
			t.Errorf("%q: the answer is %q, want done or an error, and a complete line", line, got)
		}
		if strings.HasPrefix(got, "error ") && strings.Count(got, "\n") != 1 {
			t.Errorf("%q: the error is %q, want a single line", line, got)
		}
	})
}
