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

// page is the operators' page of what the stated size comes to.
const page = "../../docs/CAPACITY.md"

// rows are the cells of the tables whose first line begins with a heading, below that line.
func rows(text, heading string) (all [][]string) {
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

// sheet evaluates the page's formulas over its names.
type sheet struct {
	pkg   *types.Package
	names map[string]bool
}

// newSheet takes names with their values, each a number or a formula of others.
func newSheet(values [][2]string) (*sheet, error) {
	var src strings.Builder
	src.WriteString("package page\nconst (\n")
	s := &sheet{names: make(map[string]bool)}
	for _, v := range values {
		if s.names[v[0]] {
			return nil, fmt.Errorf("%s stands twice", v[0])
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

func (s *sheet) eval(formula string) (float64, error) {
	v, err := types.Eval(token.NewFileSet(), s.pkg, token.NoPos, "1.0 * ("+formula+")")
	if err != nil || v.Value == nil {
		return 0, fmt.Errorf("%q: %w", formula, err)
	}
	f, _ := constant.Float64Val(v.Value)
	return f, nil
}

var numbers = regexp.MustCompile(`[0-9][0-9,]*(\.[0-9]+)?`)

// number is the first in a cell.
func number(cell string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(numbers.FindString(cell), ",", ""), 64)
}

// shown says whether a number is what a cell shows of it: three digits that count.
func shown(cell string, is float64) bool {
	told, err := number(cell)
	return err == nil && math.Abs(told-is) <= 0.006*math.Abs(is)
}

// TestPage holds the page's table to its own formulas, and these to the page's names: what it comes
// to, what is allowed, and the verdict with by how much.
func TestPage(t *testing.T) {
	text := string(check.Must[[]byte](t)(os.ReadFile(page)))
	var values [][2]string
	for _, heading := range []string{"size", "slope"} {
		found := rows(text, heading)
		if len(found) < 5 {
			t.Fatalf("the page has %d rows of %ss", len(found), heading)
		}
		for _, r := range found {
			values = append(values, [2]string{r[0], strings.ReplaceAll(r[1], ",", "")})
		}
	}
	s := check.Must[*sheet](t)(newSheet(values))
	for name, is := range map[string]float64{
		"nodes": float64(Stated.Nodes), "servers": float64(Stated.Servers), "services": float64(Stated.Services),
		"routes": float64(Stated.Routes), "tenants": float64(Stated.Tenants), "requests": Stated.Requests,
		"changes": Stated.Changes, "restarts": Stated.Restarts, "machines": float64(Stated.Machines),
		"core": 100 * Stated.Core, "memory": Stated.Memory, "bytes": Stated.Bytes, "added": Stated.Added,
	} {
		if got, err := s.eval(name); err != nil || math.Abs(got-is) > 1e-9 {
			t.Errorf("the page has %s as %v, the program as %v: %v", name, got, is, err)
		}
	}
	table := rows(text, "role")
	if len(table) < 15 {
		t.Fatalf("the page's table has %d rows", len(table))
	}
	used := make(map[string]bool)
	for _, r := range table {
		if len(r) != 7 {
			t.Errorf("%q: %d cells, want 7", r, len(r))
			continue
		}
		role, formula, comes, allowed, verdict := r[0]+", "+r[1], r[2], r[3], r[4], r[5]
		for name := range s.names {
			if regexp.MustCompile(`\b` + name + `\b`).MatchString(formula + " " + allowed) {
				used[name] = true
			}
		}
		is, err := s.eval(formula)
		if err != nil {
			t.Errorf("%s: %v", role, err)
			continue
		}
		if !shown(comes, is) {
			t.Errorf("%s: %s is %.4g and the page says %q", role, formula, is, comes)
		}
		if allowed == "-" {
			if strings.Contains(verdict, "over") || strings.Contains(verdict, "holds") {
				t.Errorf("%s: %q where nothing is allowed or denied", role, verdict)
			}
			continue
		}
		most, err := s.eval(allowed)
		if err != nil {
			t.Errorf("%s: %v", role, err)
			continue
		}
		switch {
		case is > most && (!strings.HasPrefix(verdict, "**over**") || !shown(strings.TrimPrefix(verdict, "**over**"), is/most)):
			t.Errorf("%s: %.4g is %.3g times the %.4g allowed, and the page says %q", role, is, is/most, most, verdict)
		case is <= most && !strings.HasPrefix(verdict, "*holds*"):
			t.Errorf("%s: %.4g is within the %.4g allowed, and the page says %q", role, is, most, verdict)
		}
	}
	for _, r := range rows(text, "slope") {
		if !used[r[0]] {
			t.Errorf("no row uses the slope %s", r[0])
		}
	}
}

// TestPageIsHeld has a sheet tell of what is wrong in it.
func TestPageIsHeld(t *testing.T) {
	s := check.Must[*sheet](t)(newSheet([][2]string{{"nodes", "2600"}, {"a", "0.5"}, {"b", "a * nodes"}}))
	if got, err := s.eval("b + 1"); err != nil || got != 1301 {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := s.eval("c + 1"); err == nil {
		t.Error("a name that is not there was read")
	}
	if _, err := newSheet([][2]string{{"a", "1"}, {"a", "2"}}); err == nil {
		t.Error("one name was taken twice")
	}
	if !shown("1,130 kB/s", 1131) || shown("1,130 kB/s", 1150) || shown("none", 1) {
		t.Error("a shown number is read wrong")
	}
	if got := rows("| role | x |\n|---|---|\n| a | `b` |\n\n| c | d |\n", "role"); len(got) != 1 || got[0][1] != "b" {
		t.Errorf("%q", got)
	}
}
