package core

import "testing"

// TestTargetIsUnchanged guards against a request that reaches its server as another one: a target that begins with two
// slashes must not be written as the absolute form of another host.
func TestTargetIsUnchanged(t *testing.T) {
	for target, want := range map[string]bool{
		"/a/b?c=d": true, "/a|b%2Fc?x=%": true, "*": true, "/": true, "/a?": true,
		"//acme/7f3a": true, "//acme/7f%2F3a?x=y|z": true, "///": true, "//a?": true, "//": true,
		"//a|b": false, "//a%zz": false,
	} {
		u, ok := TargetURL(target)
		if ok != want {
			t.Errorf("%s: there is a URL: %v, want %v", target, ok, want)
		}
		if ok && u.RequestURI() != target {
			t.Errorf("%s: the URL is written as %s", target, u.RequestURI())
		}
	}
}

// FuzzTargetIsUnchanged: a URL for any target is written as that target.
func FuzzTargetIsUnchanged(f *testing.F) {
	f.Add("/a/b?c=d")
	f.Add("//acme/7f3a?x")
	f.Fuzz(func(t *testing.T, target string) {
		if u, ok := TargetURL(target); ok && target != "" && u.RequestURI() != target {
			t.Errorf("%q is written as %q", target, u.RequestURI())
		}
	})
}
