package announce

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
)

// Limits of an announcement.
const (
	// AnnouncementMaxBytes limits the body of an announcement.
	AnnouncementMaxBytes = 16 << 10
	// SlotsMax is far above the number of requests that one target can run concurrently; a larger number is a mistake.
	SlotsMax     = 4096
	nameMaxBytes = 128
	pathMaxBytes = 512
	labelsMax    = 32
)

// sameTarget reports whether two announcements describe the target in the same way.
func sameTarget(a, b Announcement) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots &&
		a.HealthPath == b.HealthPath && a.LoadPath == b.LoadPath && a.Start == b.Start &&
		maps.Equal(a.Labels, b.Labels)
}

// ParseAnnouncement decodes and checks the JSON body of an announcement. The error names the field.
func ParseAnnouncement(body []byte) (Announcement, error) {
	var a Announcement
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return Announcement{}, fmt.Errorf("body is not a valid announcement: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return Announcement{}, fmt.Errorf("body has data after the announcement")
	}
	return a, a.check()
}

func (a Announcement) check() error {
	if err := checkName("service", a.Service); err != nil {
		return err
	}
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	if a.Slots < 0 || a.Slots > SlotsMax {
		return fmt.Errorf("slots is %d, must be between 0 (default) and %d", a.Slots, SlotsMax)
	}
	if len(a.Labels) > labelsMax {
		return fmt.Errorf("labels has %d entries, at most %d are allowed", len(a.Labels), labelsMax)
	}
	for name, value := range a.Labels {
		if err := checkName("label name", name); err != nil {
			return err
		}
		if len(value) > nameMaxBytes {
			return fmt.Errorf("label %q has %d bytes, at most %d are allowed", name, len(value), nameMaxBytes)
		}
	}
	if err := checkPath("health_path", a.HealthPath); err != nil {
		return err
	}
	if err := checkPath("load_path", a.LoadPath); err != nil {
		return err
	}
	if len(a.Start) > nameMaxBytes {
		return fmt.Errorf("start has %d bytes, at most %d are allowed", len(a.Start), nameMaxBytes)
	}
	return nil
}

func checkName(field, s string) error {
	if s == "" || len(s) > nameMaxBytes {
		return fmt.Errorf("%s has %d bytes, must have 1 to %d", field, len(s), nameMaxBytes)
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return fmt.Errorf("%s %q has a character that is not printable ASCII", field, s)
		}
	}
	return nil
}

func checkAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("address %q is not host:port: %w", s, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("address %q does not name an IP address", s)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address %q does not name a port between 1 and 65535", s)
	}
	return nil
}

func checkPath(field, s string) error {
	if s == "" {
		return nil
	}
	if !strings.HasPrefix(s, "/") || len(s) > pathMaxBytes || strings.ContainsAny(s, " \r\n\t") {
		return fmt.Errorf("%s %q must begin with a slash, have no spaces and at most %d bytes", field, s, pathMaxBytes)
	}
	return nil
}
