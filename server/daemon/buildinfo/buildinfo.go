// Package buildinfo says from which sources a program was built.
package buildinfo

import "runtime/debug"

// commit is set by the linker (-X). It is empty in builds outside a repository and in those that do not set it.
var commit string

// unknown is the commit of a build that does not state one.
const unknown = "unknown"

// Commit returns the commit that the program was built from, with the suffix "-dirty" if the sources had other changes.
func Commit() string {
	if commit != "" {
		return commit
	}
	info, _ := debug.ReadBuildInfo()
	return commitOf(info)
}

// commitOf returns the commit that the go command recorded.
func commitOf(info *debug.BuildInfo) string {
	if info == nil {
		return unknown
	}
	revision, suffix := unknown, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && s.Value != "":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "-dirty"
		}
	}
	return revision + suffix
}
