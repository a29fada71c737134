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

// fakeOperator is an admin.Operator without a node. Its only server is s-1.
type fakeOperator struct{ served atomic.Int64 }

func (*fakeOperator) Ready() error { return nil }
func (d *fakeOperator) Metrics(w *bytes.Buffer) error {
	_, err := fmt.Fprintf(w, "svc.fulfilled.look=%d\nsvc.open_requests=3\n", d.served.Add(10))
	return err
}
func (*fakeOperator) Members(w *bytes.Buffer) error    { w.WriteString("{}\n"); return nil }
func (*fakeOperator) BeginFleet() error                { return nil }
func (*fakeOperator) MemberEnded(string, string) error { return nil }
func (*fakeOperator) Exclude(id string) error {
	if id != "s-1" {
		return fmt.Errorf("no such server is listed")
	}
	return nil
}
func (*fakeOperator) Include(string) error { return nil }

// runCtl runs a `ctl` command with an admin address and returns its output.
func runCtl(at string, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(append([]string{"ctl", "--at", at}, args...))
	err := cmd.Execute()
	return out.String(), err
}

// TestCtl runs each `ctl` command against an admin server and checks its output.
func TestCtl(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.New(ln, &fakeOperator{}, slog.New(slog.DiscardHandler))
	defer server.Close()
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
		got, err := runCtl(server.Addr(), strings.Fields(c.args)...)
		if got != c.want || (err == nil) != (c.errs == "") || err != nil && !strings.Contains(err.Error(), c.errs) {
			t.Errorf("%s: the command wrote %q with error %v, want the case's text and error", c.args, got, err)
		}
	}
	got, err := runCtl(server.Addr(), "figures", "--json")
	var all []admin.Metric
	if err != nil || json.Unmarshal([]byte(got), &all) != nil || len(all) != 2 || all[1] != (admin.Metric{Name: "svc.open_requests", Value: 3}) {
		t.Errorf("the metrics as JSON are %q with error %v, want two, the second svc.open_requests of 3", got, err)
	}
	got, err = runCtl(server.Addr(), "watch", "--every", "100ms", "--times", "2")
	if err != nil || !strings.Contains(got, "/s") || strings.Count(got, "svc.open_requests") != 2 {
		t.Errorf("watch wrote %q with error %v, want a rate and svc.open_requests twice", got, err)
	}
	if _, err := runCtl(check.UnusedAddr(t), "ready"); err == nil {
		t.Error("a call succeeds without an admin server")
	}
}
