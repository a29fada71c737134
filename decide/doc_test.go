package decide

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// notRules are the files that hold no rule: they declare what events, settings and requests are.
var notRules = map[string]bool{"doc.go": true, "events.go": true, "settings.go": true, "request.go": true}

// The page in doc.go lists every file with a rule, and the functions that it names are in that file.
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
				t.Errorf("%s has no function %s", file, name)
			}
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") && !notRules[file] && !listed[file] {
			t.Errorf("%s is not listed", file)
		}
	}
}
