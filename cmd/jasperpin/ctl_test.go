package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"jasperpin/internal/admin"
	"jasperpin/internal/emulator/check"
)

// recorder is the admin.Operator of a node that does nothing.
type recorder struct{ served atomic.Int64 }

func (*recorder) Ready() error { return nil }
func (d *recorder) Metrics(w *bytes.Buffer) error {
	_, err := fmt.Fprintf(w, "svc.fulfilled.look=%d\nsvc.open_requests=3\n", d.served.Add(10))
	return err
}
func (*recorder) Members(w *bytes.Buffer) error    { w.WriteString("{}\n"); return nil }
func (*recorder) BeginFleet() error                { return nil }
func (*recorder) MemberEnded(string, string) error { return nil }
func (*recorder) Exclude(id string) error {
	if id != "s-1" {
		return fmt.Errorf("no such server is listed")
	}
	return nil
}
func (*recorder) Include(string) error { return nil }

// runCtl runs a command of ctl at an admin address, and returns what it prints.
func runCtl(at string, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(append([]string{"ctl", "--at", at}, args...))
	err := cmd.Execute()
	return out.String(), err
}

// TestCtl runs each command of ctl against an admin server, and checks what it prints.
func TestCtl(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := admin.New(ln, &recorder{}, slog.New(slog.DiscardHandler))
	defer d.Close()
	for _, c := range []struct {
		args string
		want string
		errs string
	}{
		{"ready", "done\n", ""},
		{"exclude s-1", "done\n", ""},
		{"include s-1", "done\n", ""},
		{"exclude s-2", "", "the node says: no such server is listed"},
		{"exclude", "", "accepts 1 arg"},
		{"figures", "svc.fulfilled.look=10\nsvc.open_requests=3\n", ""},
		{"exclude s-2 --json", `{"done":false,"error":"the node says: no such server is listed"}` + "\n", "no such server"},
	} {
		got, err := runCtl(d.Addr(), strings.Fields(c.args)...)
		if got != c.want || (err == nil) != (c.errs == "") || err != nil && !strings.Contains(err.Error(), c.errs) {
			t.Errorf("%s: %q, %v", c.args, got, err)
		}
	}
	got, err := runCtl(d.Addr(), "figures", "--json")
	var all []admin.Metric
	if err != nil || json.Unmarshal([]byte(got), &all) != nil || len(all) != 2 || all[1] != (admin.Metric{Name: "svc.open_requests", Value: 3}) {
		t.Errorf("%q, %v", got, err)
	}
	got, err = runCtl(d.Addr(), "watch", "--every", "100ms", "--times", "2")
	if err != nil || !strings.Contains(got, "/s") || strings.Count(got, "svc.open_requests") != 2 {
		t.Errorf("watch: %q, %v", got, err)
	}
	if _, err := runCtl(check.UnusedAddr(t), "ready"); err == nil {
		t.Error("a call succeeds without an answer")
	}
}
