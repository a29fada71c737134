package capacity

import (
	"fmt"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"jasperpin/internal/emulator/check"
)

// pagePath is the operators' page about the stated size.
const pagePath = "../../docs/CAPACITY.md"

// tableRows returns the cells of all rows of the tables whose first column has a heading.
func tableRows(text, heading string) (all [][]string) {
	in := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "| "+heading+" |"):
			in = true
		case !strings.HasPrefix(line, "|"):
			in = false
		case in && !strings.HasPrefix(line, "|---"):
			cells := strings.Split(strings.Trim(line, "|"), "|")
			for i := range cells {
				cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
			}
			all = append(all, cells)
		}
	}
	return all
}

// sheet evaluates the page's formulas, which refer to its names.
type sheet struct {
	pkg   *types.Package
	names map[string]bool
}

// newSheet returns a sheet of pairs of a name and its value, a number or a formula of other names.
func newSheet(values [][2]string) (*sheet, error) {
	var src strings.Builder
	src.WriteString("package page\nconst (\n")
	s := &sheet{names: make(map[string]bool)}
	for _, v := range values {
		if s.names[v[0]] {
			return nil, fmt.Errorf("duplicate name %s", v[0])
		}
		s.names[v[0]] = true
		fmt.Fprintf(&src, "%s = 1.0 * (%s)\n", v[0], v[1])
	}
	src.WriteString(")\n")
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "page.go", src.String(), 0)
	if err != nil {
		return nil, err
	}
	s.pkg, err = (&types.Config{}).Check("page", fset, []*ast.File{file}, nil)
	return s, err
}

// eval evaluates a formula.
func (s *sheet) eval(formula string) (float64, error) {
	v, err := types.Eval(token.NewFileSet(), s.pkg, token.NoPos, "1.0 * ("+formula+")")
	if err != nil || v.Value == nil {
		return 0, fmt.Errorf("%q: %w", formula, err)
	}
	f, _ := constant.Float64Val(v.Value)
	return f, nil
}

var numberPattern = regexp.MustCompile(`[0-9][0-9,]*(\.[0-9]+)?`)

// firstNumber returns the first number in a cell.
func firstNumber(cell string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(numberPattern.FindString(cell), ",", ""), 64)
}

// showsNumber reports whether a cell shows a number, to three significant digits.
func showsNumber(cell string, value float64) bool {
	shown, err := firstNumber(cell)
	return err == nil && math.Abs(shown-value) <= 0.006*math.Abs(value)
}

// TestPageAgreesWithItself checks the page's table: values against the page's own formulas and names, and verdicts
// against the limits. The sizes on the page must equal Stated.
func TestPageAgreesWithItself(t *testing.T) {
	text := string(check.Must[[]byte](t)(os.ReadFile(pagePath)))
	var values [][2]string
	for _, heading := range []string{"size", "slope"} {
		found := tableRows(text, heading)
		if len(found) < 5 {
			t.Fatalf("the page has %d rows under the heading %q, want at least 5", len(found), heading)
		}
		for _, r := range found {
			values = append(values, [2]string{r[0], strings.ReplaceAll(r[1], ",", "")})
		}
	}
	pageSheet := check.Must[*sheet](t)(newSheet(values))
	for name, stated := range map[string]float64{
		"nodes": float64(Stated.Nodes), "servers": float64(Stated.Servers), "services": float64(Stated.Services),
		"routes": float64(Stated.Routes), "tenants": float64(Stated.Tenants), "requests": Stated.RequestRate,
		"changes": Stated.ConfigChanges, "restarts": Stated.Restarts, "machines": float64(Stated.Machines),
		"core": 100 * Stated.CoreShare, "memory": Stated.MemoryMB, "bytes": Stated.ByteRate, "added": Stated.AddedMS,
	} {
		if got, err := pageSheet.eval(name); err != nil || math.Abs(got-stated) > 1e-9 {
			t.Errorf("size %s: the page has %v, the program has %v, error %v", name, got, stated, err)
		}
	}
	table := tableRows(text, "role")
	if len(table) < 15 {
		t.Fatalf("the page's table of roles has %d rows, want at least 15", len(table))
	}
	used := make(map[string]bool)
	for _, r := range table {
		if len(r) != 7 {
			t.Errorf("table row %q has %d cells, want 7", r, len(r))
			continue
		}
		role, formula, shown, allowed, verdict := r[0]+", "+r[1], r[2], r[3], r[4], r[5]
		for name := range pageSheet.names {
			if regexp.MustCompile(`\b` + name + `\b`).MatchString(formula + " " + allowed) {
				used[name] = true
			}
		}
		value, err := pageSheet.eval(formula)
		if err != nil {
			t.Errorf("evaluating the formula of %s: %v", role, err)
			continue
		}
		if !showsNumber(shown, value) {
			t.Errorf("row %s: the formula %s is %.4g, but the page shows %q", role, formula, value, shown)
		}
		if allowed == "-" {
			if strings.Contains(verdict, "over") || strings.Contains(verdict, "holds") {
				t.Errorf("row %s: the page has the verdict %q but no limit", role, verdict)
			}
			continue
		}
		limit, err := pageSheet.eval(allowed)
		if err != nil {
			t.Errorf("evaluating the limit of %s: %v", role, err)
			continue
		}
		switch {
		case value > limit && (!strings.HasPrefix(verdict, "**over**") || !showsNumber(strings.TrimPrefix(verdict, "**over**"), value/limit)):
			t.Errorf("row %s: the value %.4g is %.3g times the limit %.4g, but the page has the verdict %q", role, value, value/limit, limit, verdict)
		case value <= limit && !strings.HasPrefix(verdict, "*holds*"):
			t.Errorf("row %s: the value %.4g is within the limit %.4g, but the page has the verdict %q", role, value, limit, verdict)
		}
	}
	for _, r := range tableRows(text, "slope") {
		if !used[r[0]] {
			t.Errorf("no row uses the slope %s", r[0])
		}
	}
}

// TestSheetFindsErrors checks that unknown and duplicate names are errors, and that numbers in cells are parsed.
func TestSheetFindsErrors(t *testing.T) {
	s := check.Must[*sheet](t)(newSheet([][2]string{{"nodes", "2600"}, {"a", "0.5"}, {"b", "a * nodes"}}))
	if got, err := s.eval("b + 1"); err != nil || got != 1301 {
		t.Errorf("evaluating b + 1: got %v, error %v, want 1301", got, err)
	}
	if _, err := s.eval("c + 1"); err == nil {
		t.Error("a formula with the unknown name c was evaluated, want an error")
	}
	if _, err := newSheet([][2]string{{"a", "1"}, {"a", "2"}}); err == nil {
		t.Error("a sheet with the duplicate name a was accepted, want an error")
	}
	if !showsNumber("1,130 kB/s", 1131) || showsNumber("1,130 kB/s", 1150) || showsNumber("none", 1) {
		t.Error("a number in a cell was parsed incorrectly")
	}
	if got := tableRows("| role | x |\n|---|---|\n| a | `b` |\n\n| c | d |\n", "role"); len(got) != 1 || got[0][1] != "b" {
		t.Errorf("rows of the table with heading role: got %q, want one row with the cells a and b", got)
	}
}
