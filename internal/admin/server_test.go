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

// TestAnswer answers each call, and lines that are no call with an error.
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
		{"\n", "error an empty call\n"},
		{"exclude\n", "error exclude takes 1 words, not 0\n"},
		{"readyz now\n", "error readyz takes 0 words, not 1\n"},
		{"Readyz\n", "error unknown call \"Readyz\": readyz, telemetry, exclude ID, include ID, members, begin-fleet or member-ended NAME LIFE\n"},
	} {
		if got := Answer(r, c.line); got != c.want {
			t.Errorf("%q: %q, want %q", c.line, got, c.want)
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

// send sends some bytes and returns all that comes back.
func send(t *testing.T, s *Server, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, text)
	b, _ := io.ReadAll(c) // a reset is a close, too
	return string(b)
}

// TestSilentCallersDoNotDelayOthers opens three times as many connections as there are places,
// which send nothing or half a line: good calls are answered at once all the same.
func TestSilentCallersDoNotDelayOthers(t *testing.T) {
	s := startServer(t)
	for i := range 3 * MaxConns {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "exclu")
		}
		if i%3 == 0 {
			began := time.Now()
			if got := send(t, s, "readyz\n"); got != "done\n" {
				t.Fatalf("beside %d silent callers: %q", i+1, got)
			}
			if took := time.Since(began); took > readTimeout/2 {
				t.Errorf("beside %d silent callers: %v", i+1, took)
			}
		}
	}
}

// TestIncompleteCalls sends incomplete calls, and one that is too long: the server answers with an
// error or closes the connection.
func TestIncompleteCalls(t *testing.T) {
	s := startServer(t)
	if got := send(t, s, "exclude s-1"); got != "error no whole line came\n" {
		t.Errorf("half a line: %q", got)
	}
	if got := send(t, s, ""); got != "" {
		t.Errorf("nothing: %q", got)
	}
	if got := send(t, s, strings.Repeat("x", MaxCallBytes)); !strings.HasPrefix(got, "error a call has at most") {
		t.Errorf("a line without end: %q", got)
	}
	if got := send(t, s, "readyz\nreadyz\n"); got != "done\n" {
		t.Errorf("two calls on a connection: %q", got)
	}
}

// FuzzAnswer calls Answer with any line: the answer is whole lines that begin with done or error.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{"readyz", "telemetry", "exclude s-1", "include s-\x00", "exclude a b", "\xff\xfe", "exclude " + strings.Repeat("y", 300)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		got := Answer(&recorder{out: make(map[string]bool)}, line)
		if !strings.HasPrefix(got, "done\n") && !strings.HasPrefix(got, "error ") || !strings.HasSuffix(got, "\n") {
			t.Errorf("%q: %q", line, got)
		}
		if strings.HasPrefix(got, "error ") && strings.Count(got, "\n") != 1 {
			t.Errorf("%q: an error of several lines: %q", line, got)
		}
	})
}
