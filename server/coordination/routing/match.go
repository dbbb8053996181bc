// Package routing matches routes and selects targets, based on one view of the mesh and this node's own observations.
package routing

import (
	"slices"
	"strings"
	"sync/atomic"

	"wagtailford.example/server/state/config"
)

// compiledMax limits the number of compiled configurations that are cached. A process has one configuration in force
// and, briefly during a change, the previous one.
const compiledMax = 4

// Matcher holds the compiled routes of a configuration. It is immutable.
type Matcher struct {
	content *config.Content
	// callers maps a caller identity to its routes, keyed by path prefix without a trailing slash.
	callers map[string]prefixes
	// hosts maps a host to its routes, keyed by path prefix with the trailing slash.
	hosts map[string]prefixes
	// organisations maps the digest of a key to its holder.
	organisations map[config.KeyDigest]*config.Organisation
}

// prefixes are routes by path prefix. longest is the length of the longest prefix: parts of a path that are longer are not looked
// up, since hashing each of them takes time that grows with the square of the length of a path of slashes.
type prefixes struct {
	routes  map[string]*config.Route
	longest int
}

// compiledMatchers caches the most recent matchers, newest first. The slice is copied on write.
var compiledMatchers atomic.Pointer[[]*Matcher]

// Match returns the route for a request path without query. Routes of the caller itself take precedence over those of
// config.AnyCaller; among these the longest prefix that ends at a segment boundary wins.
func Match(content *config.Content, caller, path string) (*config.Route, bool) {
	if content == nil {
		return nil, false
	}
	return matcherFor(content).Match(caller, path)
}

// Match returns the route for a request path, with the same precedence as the function Match.
func (m *Matcher) Match(caller, path string) (*config.Route, bool) {
	if route := longestPrefix(m.callers[caller], path); route != nil {
		return route, true
	}
	route := longestPrefix(m.callers[config.AnyCaller], path)
	return route, route != nil
}

// MatchHost returns the route of a host with the longest path prefix that matches the path exactly as the caller sent
// it.
func MatchHost(content *config.Content, host, path string) (*config.Route, bool) {
	if content == nil {
		return nil, false
	}
	index := matcherFor(content).hosts[host]
	path = path[:min(len(path), index.longest)]
	for {
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil, false
		}
		if route, ok := index.routes[path[:cut+1]]; ok {
			return route, true
		}
		path = path[:cut]
	}
}

func matcherFor(content *config.Content) *Matcher {
	old := compiledMatchers.Load()
	if old != nil {
		for _, m := range *old {
			if m.content == content {
				return m
			}
		}
	}
	m := NewMatcher(content)
	next := []*Matcher{m}
	if old != nil {
		next = append(next, (*old)[:min(len(*old), compiledMax-1)]...)
	}
	// If another goroutine wins the race, the only cost is that the configuration is compiled once more.
	compiledMatchers.CompareAndSwap(old, &next)
	return m
}

// NewMatcher compiles the routes of a configuration, which must not be nil.
func NewMatcher(content *config.Content) *Matcher {
	m := &Matcher{
		content: content,
		callers: make(map[string]prefixes),
		hosts:   make(map[string]prefixes),

		organisations: make(map[config.KeyDigest]*config.Organisation, len(content.Organisations)),
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		if route.Host != "" {
			addRoute(m.hosts, route.Host, route.PathPrefix, route)
			continue
		}
		addRoute(m.callers, route.Caller, strings.TrimSuffix(route.PathPrefix, "/"), route)
	}
	for i := range content.Organisations {
		for digest := range content.Organisations[i].Keys {
			m.organisations[digest] = &content.Organisations[i]
		}
	}
	return m
}

// FindOrganisation returns the organisation that holds a key; nil if there is none.
func FindOrganisation(content *config.Content, key string) *config.Organisation {
	if content == nil || key == "" || len(key) > config.KeyMaxBytes {
		return nil
	}
	return matcherFor(content).organisations[config.DigestKey(key)]
}

func addRoute(index map[string]prefixes, key, prefix string, route *config.Route) {
	p := index[key]
	if p.routes == nil {
		p.routes = make(map[string]*config.Route)
	}
	p.routes[prefix] = route
	p.longest = max(p.longest, len(prefix))
	index[key] = p
}

func longestPrefix(p prefixes, path string) *config.Route {
	if len(p.routes) == 0 {
		return nil
	}
	if len(path) > p.longest {
		cut := strings.LastIndexByte(path[:p.longest+1], '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
	for {
		if route, ok := p.routes[path]; ok {
			return route
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

// idempotentMethods are the methods that HTTP defines as idempotent.
var idempotentMethods = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "PUT": true, "DELETE": true}

// Idempotent reports whether a request with the method may execute more than once, by the route's settings or by the
// definition of the method.
func Idempotent(route *config.Route, method string) bool {
	switch route.Repetition {
	case config.Idempotent:
		return true
	case config.NonIdempotent:
		return false
	}
	if idempotentMethods[method] {
		return true
	}
	return slices.Contains(route.IdempotentMethods, method)
}
