package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run runs the jasperpin command with args and returns its output.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

const example = "../../deploy/jasperpin.toml"

// TestCheck checks a valid file, a file with an unknown key and a missing file.
func TestCheck(t *testing.T) {
	if out, err := run("check", example); err != nil || !strings.Contains(out, "2 services, 4 routes, 3 pools") {
		t.Errorf("check of the example wrote %q with error %v, want its numbers of services, routes and pools", out, err)
	}
	file := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(file, []byte("[node]\nlistn = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run("check", file); err == nil || !strings.Contains(err.Error(), "bad.toml:2: listn is not a key of this table: did you mean listen?") {
		t.Errorf("check of a file with an unknown key returned error %v, want its line and a suggestion", err)
	}
	if _, err := run("check", file+".none"); err == nil {
		t.Error("check of a missing file returned no error")
	}
}

// TestRoute explains the routes of requests with the example configuration, and rejects malformed and
// unrouted requests.
func TestRoute(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"GET", "http://orders.example.org/look/7"}, "service orders\npool    orders\nclass   look\nbecause host orders.example.org, any path (jasperpin.toml:"},
		{[]string{"GET", "/look/7", "-H", "Host: B.ORDERS.example.org:8080"}, "because host *.orders.example.org"},
		{[]string{"POST", "http://stock.example.org/counts/1"}, "path prefix /counts/, method POST, with class count"},
		{[]string{"GET", "http://stock.example.org"}, "weight 5 of 100"},
		{[]string{"GET", "http://orders.example.org/none"}, "which the pool does not have: answered 404"},
	} {
		if out, err := run(append([]string{"route", example}, c.args...)...); err != nil || !strings.Contains(out, c.want) {
			t.Errorf("route %v wrote %q with error %v, want the expected text and no error", c.args, out, err)
		}
	}
	for _, args := range [][]string{{"GET", "http://other.example.org/"}, {"GET", "http://a b/"}, {"GET", "look"}, {"GET", "http://orders.example.org/a/../b"}, {"GET", "/", "-H", "host"}} {
		if out, err := run(append([]string{"route", example}, args...)...); err == nil {
			t.Errorf("route %v wrote %q without an error, want an error", args, out)
		}
	}
}

// TestVersionAndCompletion prints the version and a shell's completions.
func TestVersionAndCompletion(t *testing.T) {
	if out, err := run("version"); err != nil || !strings.HasPrefix(out, "jasperpin ") {
		t.Errorf("version wrote %q with error %v, want a line that begins with jasperpin", out, err)
	}
	if out, err := run("completion", "bash"); err != nil || !strings.Contains(out, "jasperpin") {
		t.Errorf("completion wrote %d bytes with error %v, want a script that names jasperpin", len(out), err)
	}
}

// TestNothingToServe serves with neither a file nor GW_CONFIG: the error names GW_CONFIG.
func TestNothingToServe(t *testing.T) {
	t.Setenv("GW_CONFIG", "")
	if _, err := run(); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("got error %v, want one that names GW_CONFIG", err)
	}
}
