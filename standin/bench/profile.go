package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"wagtailford.example/standin/fleet"
)

// profileVariable names the environment variable with the directory for processor profiles of the nodes; no profiles
// are taken if it is not set.
const profileVariable = "WAGTAILFORD_PROFILE"

func profileSettings() string {
	if os.Getenv(profileVariable) == "" {
		return ""
	}
	return "[listen]\nprofile = true\n"
}

// writeProfiles starts a processor profile of every node and returns a function that waits for the files and adds the
// allocations since the start of each node.
func writeProfiles(b *testing.B, f *fleet.Fleet, name string, duration time.Duration) (wait func()) {
	b.Helper()
	dir := os.Getenv(profileVariable)
	if dir == "" {
		return func() {}
	}
	save := func(kind, query string) {
		var wg sync.WaitGroup
		for _, p := range f.Plans {
			wg.Go(func() {
				_, body, err := f.HTTP.Get(p.URL(fleet.AdminPort) + "/profile/" + kind + query)
				if err == nil {
					err = os.WriteFile(filepath.Join(dir, name+"-"+p.Name+"-"+kind+".pprof"), body, 0o600)
				}
				if err != nil {
					b.Error(err)
				}
			})
		}
		wg.Wait()
	}
	var wg sync.WaitGroup
	wg.Go(func() { save("cpu", fmt.Sprintf("?seconds=%d", int(duration.Seconds()))) })
	return func() {
		wg.Wait()
		save("allocs", "")
	}
}

// heap counts what processes allocated since their start, in objects and bytes.
type heap struct {
	Mallocs, TotalAlloc uint64
}

// heapOf returns the sum over all nodes.
func heapOf(b *testing.B, f *fleet.Fleet) heap {
	b.Helper()
	var sum heap
	for _, p := range f.Plans {
		_, body, err := f.HTTP.Get(p.URL(fleet.AdminPort) + "/debug/vars")
		if err != nil {
			b.Fatal(err)
		}
		var vars struct {
			Memstats heap `json:"memstats"`
		}
		if err := json.Unmarshal(body, &vars); err != nil {
			b.Fatal(err)
		}
		sum.Mallocs += vars.Memstats.Mallocs
		sum.TotalAlloc += vars.Memstats.TotalAlloc
	}
	return sum
}
