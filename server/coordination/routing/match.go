// Package routing matches routes and selects targets from one view and this node's own observations.
package routing

import (
	"slices"
	"strings"
	"sync/atomic"

	"wagtailford.example/server/state/config"
)

// compiledMax limits the contents whose compiled form is kept. A process has one content in force and, for
// a moment during a change, the previous one.
const compiledMax = 4

// Matcher is the compiled form of the routes of a content. It is never modified.
type Matcher struct {
	content *config.Content
	// callers maps a caller identity to its routes by path prefix without a trailing slash.
	callers map[string]map[string]*config.Route
	// hosts maps a host to its routes by path prefix with the trailing slash.
	hosts map[string]map[string]*config.Route
}

// compiled holds the matchers used last, newest first. The slice is replaced as a whole.
var compiled atomic.Pointer[[]*Matcher]

// Match returns the route for a request path without query: the caller's own routes come before those of
// config.AnyCaller, then the longest prefix that ends at a segment boundary wins.
func Match(content *config.Content, caller, path string) (*config.Route, bool) {
	if content == nil {
		return nil, false
	}
	return matcherFor(content).Match(caller, path)
}

// Match returns the route for a request path like the function Match.
func (m *Matcher) Match(caller, path string) (*config.Route, bool) {
	if route := longestPrefix(m.callers[caller], path); route != nil {
		return route, true
	}
	route := longestPrefix(m.callers[config.AnyCaller], path)
	return route, route != nil
}

// MatchHost returns the route of a host whose path prefix is the longest one that the path, as the caller wrote it,
// begins with.
func MatchHost(content *config.Content, host, path string) (*config.Route, bool) {
	if content == nil {
		return nil, false
	}
	prefixes := matcherFor(content).hosts[host]
	for len(prefixes) > 0 {
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			break
		}
		if route, ok := prefixes[path[:cut+1]]; ok {
			return route, true
		}
		path = path[:cut]
	}
	return nil, false
}

func matcherFor(content *config.Content) *Matcher {
	old := compiled.Load()
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
	// A lost race only means that the content is compiled once more.
	compiled.CompareAndSwap(old, &next)
	return m
}

// NewMatcher compiles the routes of a content, which must not be nil.
func NewMatcher(content *config.Content) *Matcher {
	m := &Matcher{
		content: content,
		callers: make(map[string]map[string]*config.Route),
		hosts:   make(map[string]map[string]*config.Route),
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		if route.Host != "" {
			add(m.hosts, route.Host, route.PathPrefix, route)
			continue
		}
		add(m.callers, route.Caller, strings.TrimSuffix(route.PathPrefix, "/"), route)
	}
	return m
}

func add(index map[string]map[string]*config.Route, key, prefix string, route *config.Route) {
	if index[key] == nil {
		index[key] = make(map[string]*config.Route)
	}
	index[key][prefix] = route
}

func longestPrefix(prefixes map[string]*config.Route, path string) *config.Route {
	if len(prefixes) == 0 {
		return nil
	}
	for {
		if route, ok := prefixes[path]; ok {
			return route
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

// idempotentMethods are idempotent by their definition in HTTP.
var idempotentMethods = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "PUT": true, "DELETE": true}

// Idempotent reports whether a method may run more than once, by its definition or by the route's setting.
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
