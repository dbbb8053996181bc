package settings

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"

	"gopkg.in/ini.v1"
)

// minCredentialBytes is the shortest cluster credential; shorter ones can be found by trying.
const minCredentialBytes = 16

// Error is one fault of a settings file.
type Error struct {
	File, Section, Key string
	// Value is the value seen; empty if the key is missing.
	Value string
	// Allowed states the range or form that the key takes.
	Allowed string
	Problem string
}

func (e *Error) Error() string {
	msg := fmt.Sprintf("%s: section [%s]", e.File, e.Section)
	if e.Key != "" {
		msg += fmt.Sprintf(" key %s", e.Key)
	}
	if e.Value != "" {
		msg += fmt.Sprintf(" value %q", e.Value)
	}
	msg += ": " + e.Problem
	if e.Allowed != "" {
		msg += fmt.Sprintf(" (allowed: %s)", e.Allowed)
	}
	return msg
}

// Load reads and checks a file. The error joins one *Error for each fault.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse checks the content of a file; the name appears in errors only.
func Parse(file string, data []byte) (*Settings, error) {
	options := ini.LoadOptions{SkipUnrecognizableLines: false, IgnoreInlineComment: true}
	doc, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s := &Settings{}
	keys := keysOf(s)
	faults := unknownKeys(file, doc, keys)
	var profile Profile
	// Section.Key creates a missing key, so every read is behind HasKey.
	if node := doc.Section("node"); node.HasKey("profile") {
		profile = Profile(node.Key("profile").String())
	}
	for _, k := range keys {
		if fault := apply(file, doc, k, profile); fault != nil {
			faults = append(faults, fault)
		}
	}
	if len(faults) == 0 {
		faults = crossCheck(file, s)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return s, nil
}

func unknownKeys(file string, doc *ini.File, keys []key) []error {
	known := make(map[string]map[string]bool)
	for _, k := range keys {
		if known[k.section] == nil {
			known[k.section] = make(map[string]bool)
		}
		known[k.section][k.name] = true
	}
	var faults []error
	for _, sec := range doc.Sections() {
		if known[sec.Name()] == nil {
			if sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0 {
				faults = append(faults, &Error{File: file, Section: sec.Name(), Problem: "unknown section"})
			}
			continue
		}
		for _, k := range sec.Keys() {
			if !known[sec.Name()][k.Name()] {
				faults = append(faults, &Error{File: file, Section: sec.Name(), Key: k.Name(), Value: k.String(), Problem: "unknown key"})
			}
		}
	}
	return faults
}

func apply(file string, doc *ini.File, k key, profile Profile) error {
	value := k.defaultFor(profile)
	if doc.Section(k.section).HasKey(k.name) {
		value = doc.Section(k.section).Key(k.name).String()
	}
	if value == "" {
		if k.required {
			return &Error{File: file, Section: k.section, Key: k.name, Allowed: k.allowed, Problem: "required key is missing"}
		}
		if k.fallback == "" {
			return nil
		}
	}
	if err := k.set(value); err != nil {
		return &Error{File: file, Section: k.section, Key: k.name, Value: value, Allowed: k.allowed, Problem: err.Error()}
	}
	return nil
}

// crossCheck checks rules that concern more than one key.
func crossCheck(file string, s *Settings) []error {
	var faults []error
	fault := func(section, key, value, problem string) {
		faults = append(faults, &Error{File: file, Section: section, Key: key, Value: value, Problem: problem})
	}
	m := s.Membership
	if m.SelfFence >= m.DeadAfter {
		fault("membership", "self_fence", m.SelfFence.String(), fmt.Sprintf("must be less than dead_after, %v", m.DeadAfter))
	}
	if m.SuspectAfter >= m.DeadAfter {
		fault("membership", "suspect_after", m.SuspectAfter.String(), fmt.Sprintf("must be less than dead_after, %v", m.DeadAfter))
	}
	if s.Fanout.SyncHold >= m.SelfFence {
		fault("fanout", "sync_hold", s.Fanout.SyncHold.String(), fmt.Sprintf("must be less than self_fence, %v", m.SelfFence))
	}
	if m.SelfFence > s.Keys.KeyRetention/2 {
		fault("membership", "self_fence", m.SelfFence.String(), fmt.Sprintf("must be at most half of key_retention, %v", s.Keys.KeyRetention))
	}
	if s.Limits.BodyMax+s.Limits.HeaderMax*4 > s.Limits.MessageMax {
		fault("limits", "message_max", formatSize(s.Limits.MessageMax), "must hold a body and four times a header")
	}
	checkPlace(s, fault)
	checkCredential(s, fault)
	checkOperator(s, fault)
	return faults
}

// checkPlace checks what depends on whether the node runs on a platform, which gives it addresses of its own.
func checkPlace(s *Settings, fault func(section, key, value, problem string)) {
	if s.Platform.Store != "" {
		if s.Listen.Ready == "" {
			fault("listen", "ready", "", "is required with platform.store")
		}
		return
	}
	if s.Log.URL == "" {
		fault("log", "url", "", "required key is missing")
	}
	if !isLoopback(s.Listen.Announce) {
		fault("listen", "announce", s.Listen.Announce, "must be a loopback address, as it is for the target beside the node only")
	}
	if !isLoopback(s.Listen.Admin) {
		fault("listen", "admin", s.Listen.Admin, "must be a loopback address")
	}
}

func checkCredential(s *Settings, fault func(section, key, value, problem string)) {
	sec := &s.Security
	if (sec.ClusterCredential == "") == (sec.ClusterCredentialFile == "") {
		fault("security", "cluster_credential", "", "exactly one of cluster_credential and cluster_credential_file is required")
		return
	}
	if sec.ClusterCredentialFile != "" {
		data, err := os.ReadFile(sec.ClusterCredentialFile)
		if err != nil {
			fault("security", "cluster_credential_file", sec.ClusterCredentialFile, err.Error())
			return
		}
		sec.ClusterCredential = strings.TrimSpace(string(data))
	}
	if len(sec.ClusterCredential) < minCredentialBytes {
		fault("security", "cluster_credential", "", fmt.Sprintf("must have at least %d bytes", minCredentialBytes))
	}
}

func checkOperator(s *Settings, fault func(section, key, value, problem string)) {
	sec := s.Security
	set := 0
	for _, f := range []string{sec.OperatorCertFile, sec.OperatorKeyFile, sec.OperatorCAFile} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		fault("security", "operator_cert_file", sec.OperatorCertFile, "operator_cert_file, operator_key_file and operator_ca_file go together")
	}
	if s.Listen.Operator == "" || isLoopback(s.Listen.Operator) || set == 3 || sec.OperatorInsecure {
		return
	}
	fault("listen", "operator", s.Listen.Operator, "a non-loopback address needs certificate files in [security] or operator_insecure = true")
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// Print writes a table of every key with unit, range and default.
func Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "SECTION\tKEY\tUNIT\tALLOWED\tDEFAULT\tMEANING")
	for _, k := range keysOf(&Settings{}) {
		fallback := k.fallback
		switch {
		case k.required:
			fallback = "(required)"
		case k.profileFallback != "":
			fallback += " (" + string(BytesFirst) + ": " + k.profileFallback + ")"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", k.section, k.name, k.unit, k.allowed, fallback, k.doc)
	}
	return t.Flush()
}
