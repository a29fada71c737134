package haproxy

import (
	"fmt"
	"strconv"
	"strings"
)

// condition evaluates what stands after .if or .elif.
func (p *parser) condition(text string, at Pos) (bool, error) {
	all, err := words(text, at, p.env(at))
	if err != nil {
		return false, err
	}
	parts := make([]string, len(all))
	for i, w := range all {
		parts[i] = w.Text
	}
	c := &condParser{text: strings.Join(parts, " "), p: p, pos: at}
	holds := c.or(0)
	c.blanks()
	if c.err == nil && c.at < len(c.text) {
		c.fail(fmt.Sprintf("%q is left over", c.text[c.at:]))
	}
	return holds, c.err
}

// condParser reads a condition from its front: or binds less than and, and less
// than not. After an error nothing counts.
type condParser struct {
	text string
	at   int
	p    *parser
	pos  Pos
	err  error
}

// maxNesting of parentheses and exclamation marks.
const maxNesting = 32

func (c *condParser) fail(text string) bool {
	if c.err == nil {
		c.err = &Error{c.pos, "condition: " + text}
	}
	c.at = len(c.text)
	return false
}

func (c *condParser) blanks() {
	for c.at < len(c.text) && (c.text[c.at] == ' ' || c.text[c.at] == '\t') {
		c.at++
	}
}

// take takes a sign, if it comes next.
func (c *condParser) take(sign string) bool {
	c.blanks()
	if strings.HasPrefix(c.text[c.at:], sign) {
		c.at += len(sign)
		return true
	}
	return false
}

func (c *condParser) or(depth int) bool {
	holds := c.and(depth)
	for c.err == nil && c.take("||") {
		other := c.and(depth) // read in any case
		holds = holds || other
	}
	return holds
}

func (c *condParser) and(depth int) bool {
	holds := c.term(depth)
	for c.err == nil && c.take("&&") {
		other := c.term(depth)
		holds = holds && other
	}
	return holds
}

func (c *condParser) term(depth int) bool {
	switch {
	case depth > maxNesting:
		return c.fail(fmt.Sprintf("more than %d signs within each other", maxNesting))
	case c.take("!"):
		return !c.term(depth + 1)
	case c.take("("):
		holds := c.or(depth + 1)
		if c.err == nil && !c.take(")") {
			return c.fail("a parenthesis that is never closed")
		}
		return holds
	}
	c.blanks()
	from := c.at
	for c.at < len(c.text) && (isName(c.text[c.at]) || c.text[c.at] >= '0' && c.text[c.at] <= '9' || c.text[c.at] == '-') {
		c.at++
	}
	word := c.text[from:c.at]
	if n, err := strconv.Atoi(word); err == nil {
		return n != 0
	}
	if word == "" {
		if c.at == len(c.text) {
			return c.fail("it ends where something is wanted")
		}
		return c.fail(fmt.Sprintf("nothing can begin with %q", c.text[c.at:c.at+1]))
	}
	if c.at == len(c.text) || c.text[c.at] != '(' {
		return c.fail(fmt.Sprintf("%s wants its arguments in parentheses", word))
	}
	end := strings.IndexByte(c.text[c.at:], ')')
	if end < 0 {
		return c.fail("a parenthesis that is never closed")
	}
	args := strings.Split(c.text[c.at+1:c.at+end], ",")
	c.at += end + 1
	return c.predicate(word, args)
}

// arguments is how many a predicate takes.
var arguments = map[string]int{
	"defined": 1, "feature": 1, "enabled": 1, "streq": 2, "strneq": 2, "strstr": 2, "version_atleast": 1, "version_before": 1,
	"openssl_version_atleast": 1, "openssl_version_before": 1, "ssllib_name_startswith": 1, "awslc_api_atleast": 1, "awslc_api_before": 1,
}

func (c *condParser) predicate(word string, args []string) bool {
	n, known := arguments[word]
	switch {
	case !known:
		return c.fail(fmt.Sprintf("no predicate %s", word))
	case len(args) != n:
		return c.fail(fmt.Sprintf("%s has %d arguments: want %d", word, len(args), n))
	}
	for i := range args {
		args[i] = strings.TrimSpace(args[i])
	}
	opt := &c.p.opt
	switch word {
	case "defined":
		_, ok := c.p.env(c.pos)(args[0])
		return ok
	case "streq":
		return args[0] == args[1]
	case "strneq":
		return args[0] != args[1]
	case "strstr":
		return strings.Contains(args[0], args[1])
	case "feature", "enabled":
		return opt.Defines[args[0]]
	case "version_atleast", "version_before":
		if opt.Version == "" {
			return c.fail(word + " needs the version that the file was written for: name it")
		}
		older, err := before(opt.Version, args[0])
		if err != nil {
			return c.fail(err.Error())
		}
		return older == (word == "version_before")
	}
	return opt.Defines[word+"("+args[0]+")"]
}

// before says whether a version comes before another. Parts that are not numbers,
// as in 2.5-dev3, end the comparison.
func before(a, b string) (bool, error) {
	as, bs := strings.Split(a, "."), strings.Split(b, ".")
	for i := 0; i < len(as) || i < len(bs); i++ {
		x, y := 0, 0
		var errA, errB error
		if i < len(as) {
			x, errA = number(as[i])
		}
		if i < len(bs) {
			y, errB = number(bs[i])
		}
		if errA != nil || errB != nil {
			return false, fmt.Errorf("versions %q and %q: want numbers with dots between", a, b)
		}
		if x != y {
			return x < y, nil
		}
	}
	return false, nil
}

// number reads the digits at the front of a part of a version.
func number(part string) (int, error) {
	digits, _, _ := strings.Cut(part, "-")
	return strconv.Atoi(digits)
}
