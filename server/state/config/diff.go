package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
)

// Difference is one resource that differs between two contents. Before is absent for an added resource, After
// for a removed one.
type Difference struct {
	Kind          Kind     `msgpack:"k"`
	Name          string   `msgpack:"n"`
	ServiceBefore *Service `msgpack:"sb,omitempty"`
	ServiceAfter  *Service `msgpack:"sa,omitempty"`
	RouteBefore   *Route   `msgpack:"rb,omitempty"`
	RouteAfter    *Route   `msgpack:"ra,omitempty"`
}

// String returns the difference in words, for example "changed route cart".
func (d Difference) String() string {
	verb := "changed"
	switch {
	case d.ServiceBefore == nil && d.RouteBefore == nil:
		verb = "added"
	case d.ServiceAfter == nil && d.RouteAfter == nil:
		verb = "removed"
	}
	return fmt.Sprintf("%s %s %s", verb, d.Kind, d.Name)
}

// Diff returns what changes from content a to content b, services first, each sorted by name.
func Diff(a, b *Content) []Difference {
	var out []Difference
	services := merge(a.Services, b.Services, serviceName)
	for _, p := range services {
		out = append(out, Difference{Kind: KindService, Name: p.name, ServiceBefore: p.before, ServiceAfter: p.after})
	}
	routes := merge(a.Routes, b.Routes, routeName)
	for _, p := range routes {
		out = append(out, Difference{Kind: KindRoute, Name: p.name, RouteBefore: p.before, RouteAfter: p.after})
	}
	return out
}

type pair[T any] struct {
	name          string
	before, after *T
}

// merge returns the elements of two lists, both sorted by name, that differ.
func merge[T any](a, b []T, name func(*T) string) []pair[T] {
	var out []pair[T]
	for len(a) > 0 || len(b) > 0 {
		p := pair[T]{}
		if len(b) == 0 || len(a) > 0 && name(&a[0]) <= name(&b[0]) {
			p.before = &a[0]
			p.name = name(&a[0])
		}
		if len(a) == 0 || len(b) > 0 && name(&b[0]) <= name(&a[0]) {
			p.after = &b[0]
			p.name = name(&b[0])
		}
		if p.before != nil {
			a = a[1:]
		}
		if p.after != nil {
			b = b[1:]
		}
		if p.before == nil || p.after == nil || !reflect.DeepEqual(p.before, p.after) {
			out = append(out, p)
		}
	}
	return out
}

// patch returns content a changed by the differences.
func patch(a *Content, differences []Difference) *Content {
	out := &Content{Services: a.Services, Routes: a.Routes}
	for _, d := range differences {
		switch {
		case d.Kind == KindService && d.ServiceAfter != nil:
			out.Services = put(out.Services, *d.ServiceAfter, serviceName)
		case d.Kind == KindService:
			out.Services = remove(out.Services, d.Name, serviceName)
		case d.RouteAfter != nil:
			out.Routes = put(out.Routes, *d.RouteAfter, routeName)
		default:
			out.Routes = remove(out.Routes, d.Name, routeName)
		}
	}
	return out
}

func serviceName(s *Service) string { return s.Name }

func routeName(r *Route) string { return r.Name }

// find returns the position of a name in a sorted list, or where it belongs.
func find[T any](list []T, name string, nameOf func(*T) string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(e T, n string) int { return cmp.Compare(nameOf(&e), n) })
}

// put returns a copy of the sorted list with the element added or replaced.
func put[T any](list []T, element T, nameOf func(*T) string) []T {
	i, found := find(list, nameOf(&element), nameOf)
	out := slices.Clone(list)
	if found {
		out[i] = element
		return out
	}
	return slices.Insert(out, i, element)
}

// remove returns a copy of the sorted list without the name.
func remove[T any](list []T, name string, nameOf func(*T) string) []T {
	i, found := find(list, name, nameOf)
	if !found {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}
