package core

import (
	"net/url"
	"strings"
)

// TargetURL returns a URL without scheme and host whose RequestURI is a request's target, byte for byte. It returns
// false if there is none: a target that begins with an empty path segment, and has bytes that a URL would escape.
func TargetURL(target string) (u *url.URL, ok bool) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Opaque: target}, true
	}
	// An opaque target that begins with two slashes would be written as the absolute form of another host.
	path, query, hasQuery := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, false
	}
	u = &url.URL{Path: decoded, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	return u, u.RequestURI() == target
}
