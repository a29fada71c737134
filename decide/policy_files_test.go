package decide

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPolicyFiles checks that the policy setting of deploy/balancer.toml lists every file of this package
// except snapshot.go, which copies state and decides nothing.
func TestPolicyFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") || f == "snapshot.go" {
			continue
		}
		seen++
		if !bytes.Contains(deploy, []byte(`"decide/`+f+`"`)) {
			t.Errorf("%s is not listed under policy in deploy/balancer.toml", f)
		}
	}
	if listed := bytes.Count(deploy, []byte(`"decide/`)); listed != seen {
		t.Errorf("deploy/balancer.toml lists %d policy files, want the %d of the package", listed, seen)
	}
}
