package configlog

import (
	"fmt"
	"net/url"
	"strings"
)

// Key names a record: "pool/NAME", "service/NAME", "service/NAME/route/NAME" or
// "service/NAME/tenant/NAME", with each name escaped as in a URL's path.
type Key string

// PoolKey returns the key of a pool.
func PoolKey(name string) Key { return Key("pool/" + url.PathEscape(name)) }

// ServiceKey returns the key of a service.
func ServiceKey(name string) Key { return Key("service/" + url.PathEscape(name)) }

// RouteKey returns the key of a service's route.
func RouteKey(service, name string) Key {
	return ServiceKey(service) + "/route/" + Key(url.PathEscape(name))
}

// TenantKey returns the key of a service's tenant.
func TenantKey(service, name string) Key {
	return ServiceKey(service) + "/tenant/" + Key(url.PathEscape(name))
}

// Kind is the kind of object that a record configures.
type Kind uint8

// Kinds of records.
const (
	Pool Kind = iota + 1
	Service
	Route
	Tenant
)

// Split returns the kind of a key, the service that it belongs to ("" for none) and its name. The error wraps
// ErrMalformed if the key is not one that PoolKey, ServiceKey, RouteKey or TenantKey returns.
func (k Key) Split() (kind Kind, service, name string, err error) {
	top, rest, _ := strings.Cut(string(k), "/")
	first, rest, hasChild := strings.Cut(rest, "/")
	childKind, second, _ := strings.Cut(rest, "/")
	topName, ok := unescape(first)
	switch {
	case !ok || len(k) > MaxKey:
	case hasChild:
		childName, ok := unescape(second)
		switch {
		case !ok || top != "service":
		case childKind == "route":
			return Route, topName, childName, nil
		case childKind == "tenant":
			return Tenant, topName, childName, nil
		}
	case top == "pool":
		return Pool, "", topName, nil
	case top == "service":
		return Service, "", topName, nil
	}
	return 0, "", "", fmt.Errorf("%w: %.80q is not a valid key", ErrMalformed, string(k))
}

// unescape returns the name that is escaped in a key. It returns false if the text is not the canonical escaping of
// a name.
func unescape(text string) (name string, ok bool) {
	name, err := url.PathUnescape(text)
	return name, err == nil && name != "" && url.PathEscape(name) == text
}

// parent returns the key of the record that this record requires; "" for none.
func (k Key) parent() Key {
	at := strings.IndexByte(string(k), '/')
	if end := strings.IndexByte(string(k[at+1:]), '/'); end >= 0 {
		return k[:at+1+end]
	}
	return ""
}
