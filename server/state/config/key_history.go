package config

// KeyHistory says whether any configuration of the publisher has had a list of organisations. Callers may hold keys from then on,
// also while the configuration in force has no list. Nodes tell each other, and the highest value holds.
type KeyHistory uint8

// Values of KeyHistory.
const (
	// KeyHistoryUnknown means that no source has stated it: neither a configuration with a list, nor the store, nor another node.
	KeyHistoryUnknown KeyHistory = iota
	// KeysNeverIssued means that the store and all configurations that were seen state no list.
	KeysNeverIssued
	// KeysIssued means that a configuration has had a list. It is final.
	KeysIssued
)

// String returns the value as it is logged.
func (h KeyHistory) String() string {
	switch h {
	case KeyHistoryUnknown:
		return "unknown"
	case KeysNeverIssued:
		return "never_issued"
	}
	return "issued"
}

// KeyRule says what the key of a request means.
type KeyRule uint8

// Values of KeyRule.
const (
	// KeysIgnored means that the field of keys is like any other: there never was a list of organisations.
	KeysIgnored KeyRule = iota
	// KeysDecide means that a request needs the key of an organisation, except on public routes.
	KeysDecide
	// KeysWithdrawn means that a request needs no key, and that no key is valid: an earlier configuration had a list.
	KeysWithdrawn
	// KeysUndecided means that a request needs no key, and that it is not known whether keys are withdrawn.
	KeysUndecided
)

// KeyRule returns the rule of a content on a node that knows a history.
func (c *Content) KeyRule(h KeyHistory) KeyRule {
	switch {
	case c.RequiresKeys():
		return KeysDecide
	case h == KeysIssued:
		return KeysWithdrawn
	case h == KeysNeverIssued:
		return KeysIgnored
	}
	return KeysUndecided
}
