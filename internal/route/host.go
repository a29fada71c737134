package route

import (
	"errors"
	"strings"
)

// Limits of the domain name system, in bytes.
const (
	maxHostLength  = 253
	maxLabelLength = 63
)

// maxPortDigits is the length of the longest port number.
const maxPortDigits = 5

// Errors of invalid hosts and paths.
var (
	errHost = errors.New("invalid host name or address")
	errPort = errors.New("invalid port")
	errDots = errors.New("segments . and .. are not allowed, as they may lead to the path of another route")
)

// ClassOfPath returns the class that a path names: its first segment.
func ClassOfPath(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}

// NormalizeHost returns a Host header in the form that tables use: in lower case, without a port and without a
// trailing dot. An empty header stays empty.
func NormalizeHost(text string) (string, error) {
	host, err := cutPort(text)
	if err != nil || host == "" {
		return "", err
	}
	if host[0] == '[' {
		if !isBracketedAddress(host) {
			return "", errHost
		}
		return strings.ToLower(host), nil
	}
	host = strings.TrimSuffix(host, ".")
	if host == "" || len(host) > maxHostLength {
		return "", errHost
	}
	for label := range strings.SplitSeq(host, ".") {
		if !isLabel(label) {
			return "", errHost
		}
	}
	return strings.ToLower(host), nil
}

// cutPort returns the host without the port, if there is a port.
func cutPort(text string) (host string, err error) {
	i := strings.LastIndexByte(text, ':')
	if i < 0 || strings.IndexByte(text[i:], ']') >= 0 { // a colon within an IPv6 address
		return text, nil
	}
	host, port := text[:i], text[i+1:]
	for _, c := range []byte(port) {
		if c < '0' || c > '9' {
			return "", errPort
		}
	}
	if len(port) > maxPortDigits || host == "" {
		return "", errPort
	}
	return host, nil
}

// isBracketedAddress reports whether a host that begins with '[' has the form of an IPv6 address; the shortest
// such host is "[::]".
func isBracketedAddress(host string) bool {
	if len(host) < len("[::]") || host[len(host)-1] != ']' {
		return false
	}
	return strings.Trim(host[1:len(host)-1], "0123456789abcdefABCDEF:.") == ""
}

func isLabel(label string) bool {
	if label == "" || len(label) > maxLabelLength {
		return false
	}
	for _, c := range []byte(label) {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isLetter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// CheckPath returns an error for an escaped path that a server may interpret as another path than the table does.
func CheckPath(path string) error {
	if !strings.Contains(path, ".") && !strings.Contains(path, "%") {
		return nil
	}
	for segment := range strings.SplitSeq(path, "/") {
		plain := strings.ReplaceAll(strings.ToLower(segment), "%2e", ".")
		if plain == "." || plain == ".." {
			return errDots
		}
	}
	return nil
}
