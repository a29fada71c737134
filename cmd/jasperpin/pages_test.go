package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"jasperpin/internal/emulator/check"
)

// sourceNames is the names that the module's source declares or uses, and the texts of its string literals.
type sourceNames struct {
	identifiers map[string]bool
	texts       []string // texts of literals outside tests
	files       map[string]bool
}

// readSource parses all Go files of the module.
func readSource(t *testing.T) *sourceNames {
	t.Helper()
	names := &sourceNames{identifiers: make(map[string]bool), files: make(map[string]bool)}
	for _, root := range []string{"../../cmd", "../../decide", "../../internal"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			names.files[filepath.Base(path)] = true
			names.add(file, strings.HasSuffix(path, "_test.go"))
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

func (s *sourceNames) add(file *ast.File, isTest bool) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.Ident:
			s.identifiers[node.Name] = true
		case *ast.BasicLit:
			if text, err := strconv.Unquote(node.Value); err == nil && node.Kind == token.STRING && !isTest {
				s.texts = append(s.texts, text)
			}
		}
		return true
	})
}

// hasText reports whether a literal contains a quoted text. A quote stands for a prefix if it ends in "...", or
// up to the placeholder N.
func (s *sourceNames) hasText(quote string) bool {
	quote = strings.TrimRight(strings.TrimSuffix(quote, "..."), " ")
	quote, _, _ = strings.Cut(quote, " N")
	for _, text := range s.texts {
		if strings.Contains(text, quote) {
			return true
		}
	}
	return false
}

var (
	quoted        = regexp.MustCompile("`([^`]+)`")
	testName      = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	qualifiedName = regexp.MustCompile("`(?:[a-z]+\\.)?([A-Za-z]\\w*(?:\\.\\w+)*)`")
	goFile        = regexp.MustCompile(`\b(\w+\.go)\b`)
)

// logRows returns the rows of the table of log lines on the on-call page, each as its cells.
func logRows(page string) (rows [][]string) {
	_, section, _ := strings.Cut(page, "\n### Log lines\n")
	section, _, _ = strings.Cut(section, "\n### ")
	for line := range strings.Lines(section) {
		if cells := strings.Split(strings.Trim(line, "| \n"), " | "); len(cells) == 3 && !strings.HasPrefix(line, "|---") {
			rows = append(rows, cells)
		}
	}
	return rows[1:] // the rows after the table head
}

// TestOnCallPageFollowsTheCode: staff search the log for the messages on the on-call page, and the code for the
// rules that it names. Nobody finds a message or name that has changed if the page still shows the old one.
func TestOnCallPageFollowsTheCode(t *testing.T) {
	t.Parallel()
	source := readSource(t)
	page := string(check.Must[[]byte](t)(os.ReadFile("../../docs/operators/on-call.md")))
	rows := logRows(page)
	if len(rows) < 20 {
		t.Fatalf("found %d rows of log lines, want at least 20", len(rows))
	}
	for _, cells := range rows {
		if strings.HasPrefix(cells[0], "(") { // no line
			continue
		}
		quotes := quoted.FindAllStringSubmatch(cells[0], -1)
		if len(quotes) == 0 {
			t.Errorf("row quotes no message: %s", cells[0])
		}
		for _, quote := range quotes {
			for part := range strings.SplitSeq(strings.TrimSuffix(quote[1], " ..."), ": starting") { // a wrapped error
				if !source.hasText(part) {
					t.Errorf("no literal contains the message %q", quote[1])
				}
			}
		}
		for _, name := range qualifiedName.FindAllStringSubmatch(cells[2], -1) {
			for part := range strings.SplitSeq(name[1], ".") {
				if !source.identifiers[part] {
					t.Errorf("the code has no name %s of %s", part, name[0])
				}
			}
		}
	}
	for _, name := range testName.FindAllString(page, -1) {
		if !source.identifiers[name] {
			t.Errorf("no test has the name %s", name)
		}
	}
	for _, match := range goFile.FindAllStringSubmatch(page, -1) {
		if !source.files[match[1]] {
			t.Errorf("no file has the name %s", match[1])
		}
	}
}
