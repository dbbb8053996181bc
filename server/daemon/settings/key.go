package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// key is one key of the file: how it is read, and what print-settings says of it.
type key struct {
	section, name string
	doc           string
	unit          string
	allowed       string
	// fallback is the default; profileFallback is the default of the profile bytes-first if it differs.
	fallback, profileFallback string
	required                  bool
	set                       func(value string) error
}

// Whether a key without default must be present.
const (
	required = true
	optional = false
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	sizePattern = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)
)

func section(name string, keys ...key) []key {
	for i := range keys {
		keys[i].section = name
	}
	return keys
}

// profiled gives a key another default in the profile bytes-first.
func (k key) profiled(fallback string) key {
	k.profileFallback = fallback
	return k
}

func (k key) defaultFor(p Profile) string {
	if p == BytesFirst && k.profileFallback != "" {
		return k.profileFallback
	}
	return k.fallback
}

func name(keyName string, field *string, must bool, doc string) key {
	return key{
		name: keyName, doc: doc, unit: "name", allowed: "letters, digits, '.', '_' and '-', at most 63 characters", required: must,
		set: func(v string) error {
			if !namePattern.MatchString(v) {
				return fmt.Errorf("not a name")
			}
			*field = v
			return nil
		},
	}
}

func text(name string, field *string, doc string) key {
	return key{
		name: name, doc: doc, unit: "text", allowed: "any text",
		set: func(v string) error {
			*field = v
			return nil
		},
	}
}

func choice(name string, field *string, fallback, doc string, values ...string) key {
	return key{
		name: name, doc: doc, unit: "choice", allowed: strings.Join(values, " or "), fallback: fallback,
		set: func(v string) error {
			for _, allowed := range values {
				if v == allowed {
					*field = v
					return nil
				}
			}
			return fmt.Errorf("not one of the choices")
		},
	}
}

func checkAddress(v string) error {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return fmt.Errorf("not an IP address and port")
	}
	if a.Addr().IsUnspecified() {
		return fmt.Errorf("other processes cannot reach the unspecified address")
	}
	return nil
}

func address(name string, field *string, must bool, doc string) key {
	return key{
		name: name, doc: doc, unit: "address", allowed: "IP address and port", required: must,
		set: func(v string) error {
			if v == "" {
				return nil
			}
			if err := checkAddress(v); err != nil {
				return err
			}
			*field = v
			return nil
		},
	}
}

func addresses(name string, field *[]string, doc string) key {
	return key{
		name: name, doc: doc, unit: "addresses", allowed: "IP addresses and ports, separated by commas",
		set: func(v string) error {
			*field = nil
			for _, part := range strings.Split(v, ",") {
				part = strings.TrimSpace(part)
				if part == "" {
					continue
				}
				if err := checkAddress(part); err != nil {
					return err
				}
				*field = append(*field, part)
			}
			return nil
		},
	}
}

func boolean(name string, field *bool, doc string) key {
	return key{
		name: name, doc: doc, unit: "boolean", allowed: "true or false", fallback: "false",
		set: func(v string) error {
			if v != "true" && v != "false" {
				return fmt.Errorf("not a boolean")
			}
			*field = v == "true"
			return nil
		},
	}
}

func duration(name string, field *time.Duration, fallback string, low, high time.Duration, doc string) key {
	return key{
		name: name, doc: doc, unit: "duration", allowed: fmt.Sprintf("%v to %v", low, high), fallback: fallback,
		set: func(v string) error {
			d, err := time.ParseDuration(v)
			if err != nil {
				return fmt.Errorf("not a duration with a unit such as 250ms or 3s")
			}
			if d < low || d > high {
				return fmt.Errorf("out of range")
			}
			*field = d
			return nil
		},
	}
}

func integer(name string, field *int, fallback string, low, high int, doc string) key {
	return key{
		name: name, doc: doc, unit: "count", allowed: fmt.Sprintf("%d to %d", low, high), fallback: fallback,
		set: func(v string) error {
			n, err := strconv.Atoi(v)
			if err != nil {
				return fmt.Errorf("not a whole number")
			}
			if n < low || n > high {
				return fmt.Errorf("out of range")
			}
			*field = n
			return nil
		},
	}
}

func rate(name string, field *int, fallback string, low, high int, doc string) key {
	k := integer(name, field, fallback, low, high, doc)
	k.unit = "rate"
	k.allowed = fmt.Sprintf("%d/s to %d/s", low, high)
	set := k.set
	k.set = func(v string) error {
		number, ok := strings.CutSuffix(v, "/s")
		if !ok {
			return fmt.Errorf("not a rate such as 50/s")
		}
		return set(number)
	}
	return k
}

func fraction(name string, field *float64, fallback, doc string) key {
	return key{
		name: name, doc: doc, unit: "fraction", allowed: "0 to 1", fallback: fallback,
		set: func(v string) error {
			f, err := strconv.ParseFloat(v, 64)
			if err != nil {
				return fmt.Errorf("not a number")
			}
			if !(f >= 0 && f <= 1) {
				return fmt.Errorf("out of range")
			}
			*field = f
			return nil
		},
	}
}

// bandwidth is a number with unit Mbit/s, such as 100Mbps.
func bandwidth(name string, field *float64, fallback string, high float64, doc string) key {
	return key{
		name: name, doc: doc, unit: "Mbit/s", allowed: fmt.Sprintf("0Mbps to %gMbps", high), fallback: fallback,
		set: func(v string) error {
			number, ok := strings.CutSuffix(v, "Mbps")
			f, err := strconv.ParseFloat(number, 64)
			if !ok || err != nil {
				return fmt.Errorf("not a bandwidth such as 100Mbps")
			}
			if !(f >= 0 && f <= high) {
				return fmt.Errorf("out of range")
			}
			*field = f
			return nil
		},
	}
}

func parseSize(v string) (int64, error) {
	parts := sizePattern.FindStringSubmatch(v)
	if parts == nil {
		return 0, fmt.Errorf("not a size with a unit such as 64KiB")
	}
	n, err := strconv.ParseInt(parts[1], 10, 32)
	if err != nil {
		return 0, fmt.Errorf("out of range")
	}
	shift := map[string]uint{"B": 0, "KiB": 10, "MiB": 20, "GiB": 30}[parts[2]]
	return n << shift, nil
}

func formatSize(n int64) string {
	switch {
	case n >= mib && n%mib == 0:
		return fmt.Sprintf("%dMiB", n/mib)
	case n >= kib && n%kib == 0:
		return fmt.Sprintf("%dKiB", n/kib)
	default:
		return fmt.Sprintf("%dB", n)
	}
}

func size(name string, field *int64, fallback string, low, high int64, doc string) key {
	return key{
		name: name, doc: doc, unit: "size", allowed: formatSize(low) + " to " + formatSize(high), fallback: fallback,
		set: func(v string) error {
			n, err := parseSize(v)
			if err != nil {
				return err
			}
			if n < low || n > high {
				return fmt.Errorf("out of range")
			}
			*field = n
			return nil
		},
	}
}
