package decide

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// filesWithoutRules are the files that contain no rule: they declare the types of events, settings and requests.
var filesWithoutRules = map[string]bool{"doc.go": true, "events.go": true, "settings.go": true, "request.go": true}

// The package comment in doc.go lists every file with a rule, and each file declares the functions that the
// comment lists for it.
func TestDocListsEveryRule(t *testing.T) {
	doc, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^//\t([a-z_]+\.go) .*\s{2,}(\S.*)$`)
	listed := make(map[string]bool)
	for _, columns := range row.FindAllStringSubmatch(string(doc), -1) {
		file, functions := columns[1], strings.Split(columns[2], ", ")
		listed[file] = true
		code, err := os.ReadFile(file)
		if err != nil {
			t.Error(err)
		}
		for _, name := range functions {
			if !regexp.MustCompile(`(?m)^func (\(.*\) )?` + name + `\(`).Match(code) {
				t.Errorf("file %s has no function %s, which doc.go lists for it", file, name)
			}
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") && !filesWithoutRules[file] && !listed[file] {
			t.Errorf("%s is not listed in doc.go", file)
		}
	}
}
