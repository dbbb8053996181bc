package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// refusal is a broken rule.
type refusal struct {
	reason RejectReason
	detail string
}

func refuse(reason RejectReason, format string, args ...any) *refusal {
	detail := fmt.Sprintf(format, args...)
	detail = strings.ToValidUTF8(detail[:min(len(detail), maxDetailBytes)], "")
	return &refusal{reason: reason, detail: detail}
}

// Validate checks a whole content against the rules, as the fold does. It returns an empty reason if the content
// is valid. The slices need not be sorted.
func Validate(c *Content) (RejectReason, string) {
	if r := validate(sorted(c)); r != nil {
		return r.reason, r.detail
	}
	return "", ""
}

// sorted returns the content with its slices sorted by name.
func sorted(c *Content) *Content {
	out := *c
	out.Services, out.Routes, out.Organisations = slices.Clone(c.Services), slices.Clone(c.Routes), slices.Clone(c.Organisations)
	out.Rollouts, out.UnplacedRollouts = slices.Clone(c.Rollouts), slices.Clone(c.UnplacedRollouts)
	slices.SortStableFunc(out.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Rollouts, compareRollouts)
	slices.SortStableFunc(out.UnplacedRollouts, compareRollouts)
	return &out
}

// validate checks a sorted content.
func validate(c *Content) *refusal {
	if len(c.Services) > limits.MaxServices {
		return refuse(RejectLimitExceeded, "%d services, at most %d", len(c.Services), limits.MaxServices)
	}
	if len(c.Routes) > limits.MaxRoutes {
		return refuse(RejectLimitExceeded, "%d routes, at most %d", len(c.Routes), limits.MaxRoutes)
	}
	if size := contentSize(c); size > limits.MaxContentBytes {
		return refuse(RejectLimitExceeded, "content of %d bytes, at most %d", size, limits.MaxContentBytes)
	}
	for i := range c.Services {
		if r := validateService(c, i); r != nil {
			return r
		}
	}
	matches := make(map[[2]string]string, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		if i > 0 && c.Routes[i-1].Name == route.Name {
			return refuse(RejectDuplicateName, "route %s is given twice", route.Name)
		}
		if r := validateRoute(c, route); r != nil {
			return r
		}
		match := [2]string{route.Caller, route.PathPrefix}
		if other, taken := matches[match]; taken {
			return refuse(RejectAmbiguousRoute, "routes %s and %s match the same caller and path prefix", other, route.Name)
		}
		matches[match] = route.Name
	}
	return nil
}

func validateService(c *Content, i int) *refusal {
	s := &c.Services[i]
	if !validName(s.Name) {
		return refuse(RejectInvalidName, "service name %q", s.Name)
	}
	if i > 0 && c.Services[i-1].Name == s.Name {
		return refuse(RejectDuplicateName, "service %s is given twice", s.Name)
	}
	if !utf8.ValidString(s.Description) {
		return refuse(RejectInvalidField, "service %s: description is not UTF-8", s.Name)
	}
	if len(s.Description) > limits.MaxDescriptionBytes {
		return refuse(RejectLimitExceeded, "service %s: description of %d bytes, at most %d",
			s.Name, len(s.Description), limits.MaxDescriptionBytes)
	}
	return nil
}

func validateRoute(c *Content, r *Route) *refusal {
	switch {
	case !validName(r.Name):
		return refuse(RejectInvalidName, "route name %q", r.Name)
	case !validText(r.Caller, limits.MaxCallerBytes):
		return refuse(RejectInvalidField, "route %s: caller %q", r.Name, r.Caller)
	case !validText(r.PathPrefix, limits.MaxPathBytes), r.PathPrefix[0] != '/', strings.ContainsAny(r.PathPrefix, "?#"):
		return refuse(RejectInvalidField, "route %s: path prefix %q", r.Name, r.PathPrefix)
	case r.Timeout < 0, r.Timeout > limits.MaxTimeout:
		return refuse(RejectInvalidField, "route %s: timeout %s, at most %s", r.Name, r.Timeout, limits.MaxTimeout)
	case r.MaxAttempts > limits.MaxAttempts:
		return refuse(RejectInvalidField, "route %s: %d attempts, at most %d", r.Name, r.MaxAttempts, limits.MaxAttempts)
	case len(r.IdempotentMethods) > limits.MaxMethods:
		return refuse(RejectLimitExceeded, "route %s: %d methods, at most %d",
			r.Name, len(r.IdempotentMethods), limits.MaxMethods)
	case len(r.Destinations) == 0:
		return refuse(RejectInvalidField, "route %s has no destination", r.Name)
	case len(r.Destinations) > limits.MaxDestinations:
		return refuse(RejectLimitExceeded, "route %s: %d destinations, at most %d",
			r.Name, len(r.Destinations), limits.MaxDestinations)
	}
	for _, m := range r.IdempotentMethods {
		if !validMethod(m) {
			return refuse(RejectInvalidField, "route %s: method %q", r.Name, m)
		}
	}
	for i := range r.Destinations {
		if refused := validateDestination(c, r, &r.Destinations[i]); refused != nil {
			return refused
		}
	}
	return nil
}

func validateDestination(c *Content, r *Route, d *Destination) *refusal {
	if _, found := find(c.Services, d.Service, serviceName); !found {
		return refuse(RejectUnknownService, "route %s: no service %q", r.Name, d.Service)
	}
	if d.Weight == 0 || d.Weight > limits.MaxWeight {
		return refuse(RejectInvalidField, "route %s: weight %d of service %s is not between 1 and %d",
			r.Name, d.Weight, d.Service, limits.MaxWeight)
	}
	if len(d.Labels) > limits.MaxLabels {
		return refuse(RejectLimitExceeded, "route %s: %d labels for service %s, at most %d",
			r.Name, len(d.Labels), d.Service, limits.MaxLabels)
	}
	for key, value := range d.Labels {
		if !validText(key, limits.MaxLabelBytes) || !validText(value, limits.MaxLabelBytes) {
			// The label is not named: the order of a map differs between readers, but verdicts must not.
			return refuse(RejectInvalidField, "route %s: a label for service %s is invalid", r.Name, d.Service)
		}
	}
	return nil
}

// validName accepts lower case letters, digits and hyphens.
func validName(name string) bool {
	other := func(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' }
	return name != "" && len(name) <= limits.MaxNameBytes && !strings.ContainsFunc(name, other)
}

// validText accepts printable ASCII without spaces.
func validText(text string, maxBytes int) bool {
	other := func(r rune) bool { return r <= ' ' || r > '~' }
	return text != "" && len(text) <= maxBytes && !strings.ContainsFunc(text, other)
}

func validMethod(m string) bool {
	other := func(r rune) bool { return r < 'A' || r > 'Z' }
	return m != "" && len(m) <= limits.MaxMethodBytes && !strings.ContainsFunc(m, other)
}

// Upper bounds, in bytes, of what an element adds to the encoded content beside its text.
const (
	serviceOverhead     = 16
	routeOverhead       = 48
	destinationOverhead = 24
	textOverhead        = 3
)

// contentSize returns an upper bound of the encoded size in bytes.
func contentSize(c *Content) int {
	size := serviceOverhead
	for i := range c.Services {
		size += serviceSize(&c.Services[i])
	}
	for i := range c.Routes {
		size += routeSize(&c.Routes[i])
	}
	return size
}

func serviceSize(s *Service) int {
	return serviceOverhead + len(s.Name) + len(s.Description)
}

func routeSize(r *Route) int {
	size := routeOverhead + len(r.Name) + len(r.Caller) + len(r.PathPrefix)
	for _, m := range r.IdempotentMethods {
		size += textOverhead + len(m)
	}
	for i := range r.Destinations {
		size += destinationOverhead + len(r.Destinations[i].Service)
		for key, value := range r.Destinations[i].Labels {
			size += 2*textOverhead + len(key) + len(value)
		}
	}
	return size
}
