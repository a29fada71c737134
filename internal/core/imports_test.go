package core

import (
	"os/exec"
	"strings"
	"testing"
)

// TestForbiddenImports: this package, which every front end and upstream imports, must not depend on a protocol,
// and the packages of pure logic must not import packages for I/O or locks.
func TestForbiddenImports(t *testing.T) {
	for pkg, forbidden := range map[string][]string{
		"jasperpin/internal/core":    {"net/http", "jasperpin/internal/httpserver", "jasperpin/internal/httpclient"},
		"jasperpin/internal/route":   {"net", "os", "sync"},
		"jasperpin/internal/limit":   {"net", "os", "sync"},
		"jasperpin/internal/planner": {"net", "os", "sync"},
		"jasperpin/decide":           {"net", "os", "sync"},
	} {
		format := "{{join .Imports \"\\n\"}}"
		if pkg == "jasperpin/internal/core" {
			format = "{{join .Deps \"\\n\"}}"
		}
		out, err := exec.Command("go", "list", "-f", format, pkg).Output()
		if err != nil {
			t.Fatalf("go list: %v", err)
		}
		for _, dep := range strings.Fields(string(out)) {
			for _, b := range forbidden {
				if dep == b {
					t.Errorf("package %s imports %s, which is forbidden there", pkg, b)
				}
			}
		}
	}
}
