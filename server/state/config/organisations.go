package config

import (
	"crypto/sha256"
	"fmt"
	"math"
)

// KeyDigestBytes is the size of a KeyDigest.
const KeyDigestBytes = 16

// KeyDigest identifies a key of an organisation. Nodes hold and exchange digests only, so that no dump, log line or message
// contains a key.
type KeyDigest [KeyDigestBytes]byte

// DigestKey returns the digest of a key as a caller sends it.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:KeyDigestBytes])
}

// Limits of an organisation.
const (
	// KeyMaxBytes limits a key. A longer one does not fit into the header of a request.
	KeyMaxBytes = 4 << 10
	// rateMax bounds rates and bursts far above what any fleet serves.
	rateMax = 1e9
)

// Organisation is a customer whose callers share keys, a rank and a quota.
type Organisation struct {
	Name string `msgpack:"n"`
	// KeyDigests are the concatenated digests of its keys. An organisation without keys cannot send requests.
	KeyDigests []byte `msgpack:"k,omitempty"`
	// Priority ranks its requests before the priority of their routes; 0 is the most urgent.
	Priority uint32 `msgpack:"p,omitempty"`
	// RatePerSecond and Burst are the quota over all nodes: in t seconds at most RatePerSecond * t + Burst requests. A rate
	// of 0 means no quota.
	RatePerSecond float64 `msgpack:"r,omitempty"`
	Burst         float64 `msgpack:"b,omitempty"`
}

// Authentication says whether requests have to carry the key of an organisation. It is a member of its own because encodings do
// not distinguish an empty list of organisations from an absent one.
type Authentication uint8

// Values of Authentication.
const (
	// AuthenticationUnstated is the value of configurations that change by records, and of snapshots of builds without this
	// member.
	AuthenticationUnstated Authentication = iota
	// KeysNotRequired means that the publisher's configuration has no list of organisations.
	KeysNotRequired
	// KeysRequired means that it has one, which may be empty.
	KeysRequired
)

// RequiresKeys reports whether a request on a route that is not public needs the key of an organisation. It does if the
// published configuration contains the list of organisations, even an empty one (docs/design/configuration-members.md).
func (c *Content) RequiresKeys() bool {
	return c.Authentication == KeysRequired || len(c.Organisations) > 0
}

// stateAuthentication derives an unstated Authentication from the organisations.
func (c *Content) stateAuthentication() {
	if c.Authentication != AuthenticationUnstated {
		return
	}
	c.Authentication = KeysNotRequired
	if len(c.Organisations) > 0 {
		c.Authentication = KeysRequired
	}
}

// checkAuthentication returns a fault of the Authentication of a complete configuration, or "". An unstated one without
// organisations is a fault: the build that wrote it may have read an empty list.
func checkAuthentication(c *Content) string {
	switch {
	case c.Authentication > KeysRequired:
		return fmt.Sprintf("unknown authentication %d", c.Authentication)
	case c.Authentication == AuthenticationUnstated && len(c.Organisations) == 0:
		return "does not state whether requests need keys"
	case c.Authentication == KeysNotRequired && len(c.Organisations) > 0:
		return fmt.Sprintf("%d organisations, but requests need no keys", len(c.Organisations))
	}
	return ""
}

// AddKey adds a key, or returns an error if it cannot be one.
func (o *Organisation) AddKey(key string) error {
	if key == "" || len(key) > KeyMaxBytes {
		return fmt.Errorf("organisation %s: a key of %d bytes, must have 1 to %d", o.Name, len(key), KeyMaxBytes)
	}
	digest := DigestKey(key)
	o.KeyDigests = append(o.KeyDigests, digest[:]...)
	return nil
}

// Keys calls yield with the digest of each key.
func (o *Organisation) Keys(yield func(KeyDigest) bool) {
	for rest := o.KeyDigests; len(rest) >= KeyDigestBytes; rest = rest[KeyDigestBytes:] {
		if !yield(KeyDigest(rest[:KeyDigestBytes])) {
			return
		}
	}
}

// checkOrganisations returns the first fault of a sorted list of organisations, or "". It names no key.
func checkOrganisations(list []Organisation) string {
	holders := make(map[KeyDigest]string)
	for i := range list {
		o := &list[i]
		switch {
		case o.Name == "":
			return "an organisation without a name"
		case i > 0 && list[i-1].Name == o.Name:
			return fmt.Sprintf("organisation %s is given twice", o.Name)
		case !validRate(o.RatePerSecond) || !validRate(o.Burst):
			return fmt.Sprintf("organisation %s: rate %v or burst %v is not between 0 and %v", o.Name, o.RatePerSecond, o.Burst, rateMax)
		case len(o.KeyDigests)%KeyDigestBytes != 0:
			return fmt.Sprintf("organisation %s: incomplete digest of a key", o.Name)
		}
		for digest := range o.Keys {
			if holder, taken := holders[digest]; taken && holder != o.Name {
				return fmt.Sprintf("organisations %s and %s have the same key", holder, o.Name)
			}
			holders[digest] = o.Name
		}
	}
	return ""
}

func validRate(rate float64) bool { return !math.IsNaN(rate) && rate >= 0 && rate <= rateMax }

// Upper bounds of the encoded size of an element without its texts, in bytes.
const (
	organisationOverhead = 48
	rolloutOverhead      = 48
)

// organisationsSize returns an upper bound of the encoded size of the organisations and rollouts, in bytes.
func organisationsSize(c *Content) int {
	size := 0
	for i := range c.Organisations {
		size += organisationOverhead + len(c.Organisations[i].Name) + len(c.Organisations[i].KeyDigests)
	}
	for _, list := range [][]Rollout{c.Rollouts, c.UnplacedRollouts} {
		for i := range list {
			size += rolloutOverhead + len(list[i].Service) + len(list[i].TargetVersion)
		}
	}
	return size
}
