package config

import (
	"fmt"
	"strings"
	"time"
)

// Whole is a configuration that an outside source publishes complete, in place of records that change it.
type Whole struct {
	// Offset is the position of the publication at the source (Position): the highest one among the records that it was built
	// from. It is above 0. Among publications of one Sequence, a node installs only a higher one.
	Offset uint64
	// PublishedAt is the position of the configuration alone, without the orders of rollouts; 0 if it is Offset.
	PublishedAt uint64
	// Sequence is the publisher's own number of this configuration. A node never goes back to a lower one.
	Sequence uint64
	// TimeMS is the time at which the node received the publication, Unix milliseconds.
	TimeMS  int64
	Content Content
	// Read says what was read to find it.
	Read ReadInfo
	// Unknown are the words that this build does not know and replaced by the strictest meaning.
	Unknown []UnknownWord
}

// ReadInfo describes the read in which a node found a configuration.
type ReadInfo struct {
	Records, Bytes int
	// Newest is the highest offset that the source stated in the read; 0 if it stated none.
	Newest uint64
	// Decoding is the time spent on decoding the configuration.
	Decoding time.Duration
}

// UnknownWord is a word of a newer publisher.
type UnknownWord struct {
	Route, Field, Word string
}

// InvalidError means that a published configuration is not consistent in itself.
type InvalidError struct {
	Sequence uint64
	Detail   string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration %d is invalid: %s", e.Sequence, e.Detail)
}

// OversizeError means that a published configuration is larger than a node may hold, because it could not be passed on to
// other nodes.
type OversizeError struct {
	Sequence uint64
	Detail   string
}

func (e *OversizeError) Error() string {
	return fmt.Sprintf("configuration %d is too large: %s", e.Sequence, e.Detail)
}

// Sequence returns the publisher's number of a configuration that was installed whole; 0 if there is none.
func (s *State) Sequence() uint64 { return s.sequence }

// PublishedAt returns the position at which a configuration that was installed whole was published. Offset is above it if
// orders of rollouts followed.
func (s *State) PublishedAt() uint64 {
	if s.sequence != 0 && len(s.history) > 0 && s.history[0].Info.Base != 0 {
		return s.history[0].Info.Base
	}
	return s.offset
}

// FromWhole returns the state that a published configuration leads to, or an *InvalidError or *OversizeError. The limits of
// the rule version do not apply, since the source does not know them, but DecodeSnapshot accepts the snapshot of every state
// that FromWhole returns.
func FromWhole(w *Whole) (*State, error) {
	content := sorted(&w.Content)
	content.stateAuthentication()
	if detail := checkWholeSize(content); detail != "" {
		return nil, &OversizeError{Sequence: w.Sequence, Detail: detail}
	}
	if detail := checkWhole(content); detail != "" {
		return nil, &InvalidError{Sequence: w.Sequence, Detail: detail}
	}
	s := New()
	s.offset = w.Offset
	s.version = w.Offset
	s.sequence = w.Sequence
	s.content = content
	s.history = []historyEntry{{Info: VersionInfo{
		Version: w.Offset, Base: w.PublishedAt,
		Summary: fmt.Sprintf("configuration %d, %d routes, %d services", w.Sequence, len(content.Routes), len(content.Services)),
		TimeMS:  w.TimeMS,
	}}}
	return s, nil
}

// checkWhole returns the first fault of a sorted content, or "".
func checkWhole(c *Content) string {
	for i, s := range c.Services {
		if s.Name == "" {
			return "a service without a name"
		}
		if i > 0 && c.Services[i-1].Name == s.Name {
			return fmt.Sprintf("service %s is given twice", s.Name)
		}
	}
	taken := make(map[[2]string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if detail := checkWholeRoute(c, r); detail != "" {
			return detail
		}
		key := [2]string{r.Host, r.PathPrefix}
		if taken[key] {
			return fmt.Sprintf("two routes for %s%s", r.Host, r.PathPrefix)
		}
		taken[key] = true
	}
	if detail := checkRollouts(c); detail != "" {
		return detail
	}
	if detail := checkAuthentication(c); detail != "" {
		return detail
	}
	return checkOrganisations(c.Organisations)
}

func checkWholeRoute(c *Content, r *Route) string {
	switch {
	case r.Host == "":
		return fmt.Sprintf("route %s has no host", r.Name)
	case len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Sprintf("route %s: path prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	case r.Timeout <= 0:
		return fmt.Sprintf("route %s has no timeout", r.Name)
	case r.MaxAttempts == 0:
		return fmt.Sprintf("route %s allows no attempt", r.Name)
	case len(r.Destinations) == 0:
		return fmt.Sprintf("route %s has no destination", r.Name)
	}
	for _, d := range r.Destinations {
		if !c.hasService(d.Service) {
			return fmt.Sprintf("route %s leads to unknown service %q", r.Name, d.Service)
		}
	}
	return ""
}

// hasService reports whether a sorted content has a service.
func (c *Content) hasService(name string) bool {
	_, found := find(c.Services, name, serviceName)
	return found
}

// Upper bounds, in bytes, of what a snapshot holds beside what contentSize counts.
const (
	wholeOverhead        = 512
	wholeServiceOverhead = 16
	wholeRouteOverhead   = 40
)

// checkWholeSize returns how a content exceeds what a snapshot may hold, or "".
func checkWholeSize(c *Content) string {
	n := max(len(c.Services), len(c.Routes), len(c.Organisations), len(c.Rollouts), len(c.UnplacedRollouts))
	if n > maxSnapshotElements {
		return fmt.Sprintf("%d routes, services, organisations or rollouts, at most %d", n, maxSnapshotElements)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		elements := max(len(r.Destinations), len(r.IdempotentMethods))
		for j := range r.Destinations {
			elements = max(elements, 2*len(r.Destinations[j].Labels))
		}
		if elements > maxSnapshotElements {
			return fmt.Sprintf("route %s: %d elements in a list, at most %d", r.Name, elements, maxSnapshotElements)
		}
	}
	if size := wholeSize(c); size > MaxSnapshotBytes {
		return fmt.Sprintf("%d bytes, at most %d", size, MaxSnapshotBytes)
	}
	return ""
}

// wholeSize returns an upper bound of the size of the snapshot of a content in bytes.
func wholeSize(c *Content) int {
	size := wholeOverhead + contentSize(c) + organisationsSize(c)
	for i := range c.Services {
		size += wholeServiceOverhead + len(c.Services[i].HealthPath)
	}
	for i := range c.Routes {
		size += wholeRouteOverhead + len(c.Routes[i].Host)
	}
	return size
}
