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

// desk is an operator that notes what it is asked.
type desk struct{ out map[string]bool }

func (d *desk) Ready() error { return nil }
func (d *desk) Metrics(w *bytes.Buffer) error {
	_, err := fmt.Fprintf(w, "svc.open_requests=%d\n", len(d.out))
	return err
}
func (*desk) Members(w *bytes.Buffer) error    { w.WriteString("{}\n"); return nil }
func (*desk) BeginFleet() error                { return nil }
func (*desk) MemberEnded(string, string) error { return nil }
func (d *desk) Exclude(id string) error {
	if strings.HasPrefix(id, "s-") {
		d.out[id] = true
		return nil
	}
	return errors.New("no such\nserver")
}
func (d *desk) Include(id string) error { delete(d.out, id); return nil }

// TestAnswer has each call answered, and what is no call turned away.
func TestAnswer(t *testing.T) {
	d := &desk{out: make(map[string]bool)}
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
		if got := Answer(d, c.line); got != c.want {
			t.Errorf("%q: %q, want %q", c.line, got, c.want)
		}
	}
}

func open(t *testing.T) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(ln, &desk{out: make(map[string]bool)}, slog.New(slog.DiscardHandler))
	t.Cleanup(d.Close)
	return d
}

// call sends some bytes and returns all that comes.
func call(t *testing.T, d *Server, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, text)
	b, _ := io.ReadAll(c) // a reset is a close, too
	return string(b)
}

// TestCrowd has good calls answered while more callers than there are places say
// nothing, or half a line.
func TestCrowd(t *testing.T) {
	d := open(t)
	for i := range 3 * Conns {
		c, err := net.Dial("tcp", d.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "exclu")
		}
		if i%3 == 0 {
			began := time.Now()
			if got := call(t, d, "readyz\n"); got != "done\n" {
				t.Fatalf("beside %d silent callers: %q", i+1, got)
			}
			if took := time.Since(began); took > callWait/2 {
				t.Errorf("beside %d silent callers: %v", i+1, took)
			}
		}
	}
}

// TestHalfCalls closes on callers that send no whole call, or one that is too long.
func TestHalfCalls(t *testing.T) {
	d := open(t)
	if got := call(t, d, "exclude s-1"); got != "error no whole line came\n" {
		t.Errorf("half a line: %q", got)
	}
	if got := call(t, d, ""); got != "" {
		t.Errorf("nothing: %q", got)
	}
	if got := call(t, d, strings.Repeat("x", MaxLine)); !strings.HasPrefix(got, "error a call has at most") {
		t.Errorf("a line without end: %q", got)
	}
	if got := call(t, d, "readyz\nreadyz\n"); got != "done\n" {
		t.Errorf("two calls on a connection: %q", got)
	}
}

// FuzzAnswer has every line answered with whole lines that begin as they must.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{"readyz", "telemetry", "exclude s-1", "include s-\x00", "exclude a b", "\xff\xfe", "exclude " + strings.Repeat("y", 300)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		got := Answer(&desk{out: make(map[string]bool)}, line)
		if !strings.HasPrefix(got, "done\n") && !strings.HasPrefix(got, "error ") || !strings.HasSuffix(got, "\n") {
			t.Errorf("%q: %q", line, got)
		}
		if strings.HasPrefix(got, "error ") && strings.Count(got, "\n") != 1 {
			t.Errorf("%q: an error of several lines: %q", line, got)
		}
	})
}
