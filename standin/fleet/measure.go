package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clockTick is the unit of processor time in /proc, which is 10 ms on every Linux system that Go supports.
const clockTick = 10 * time.Millisecond

// Usage is what one process has used.
type Usage struct {
	CPU time.Duration
	// Resident and Anonymous are bytes of memory; anonymous memory leaves out the program's own text.
	Resident, Anonymous int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The second field is the program name in parentheses, which may hold spaces.
	_, rest, _ := bytes.Cut(stat, []byte(") "))
	fields := strings.Fields(string(rest))
	const userTime, systemTime = 11, 12
	if len(fields) <= systemTime {
		return Usage{}, fmt.Errorf("unexpected format of /proc/%d/stat", pid)
	}
	user, _ := strconv.ParseInt(fields[userTime], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTime], 10, 64)
	u := Usage{CPU: time.Duration(user+system) * clockTick}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, err
	}
	u.Resident = statusBytes(status, "VmRSS:")
	u.Anonymous = statusBytes(status, "RssAnon:")
	return u, nil
}

func statusBytes(status []byte, name string) int64 {
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, name); ok {
			kib, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kib << 10
		}
	}
	return 0
}

// Traffic is what a node counted since its start, in bytes.
type Traffic struct {
	PeerSent, PeerReceived int64
	LogRead, LogAppended   int64
}

// Total returns all bytes.
func (t Traffic) Total() int64 { return t.PeerSent + t.PeerReceived + t.LogRead + t.LogAppended }

// ReadTraffic reads a node's counters.
func (f *Fleet) ReadTraffic(p Plan) (Traffic, error) {
	_, body, err := f.HTTP.Get(p.URL(AdminPort) + "/debug/vars")
	if err != nil {
		return Traffic{}, err
	}
	var vars struct {
		Wagtaild struct {
			PeerServer, ControlPool struct{ BytesSent, BytesReceived int64 }
			Log                     struct{ BytesRead, BytesAppended int64 }
		} `json:"wagtaild"`
	}
	if err := json.Unmarshal(body, &vars); err != nil {
		return Traffic{}, fmt.Errorf("counters of %s: %w", p.Name, err)
	}
	w := vars.Wagtaild
	return Traffic{
		PeerSent:     w.PeerServer.BytesSent + w.ControlPool.BytesSent,
		PeerReceived: w.PeerServer.BytesReceived + w.ControlPool.BytesReceived,
		LogRead:      w.Log.BytesRead, LogAppended: w.Log.BytesAppended,
	}, nil
}

// Sample is the usage and traffic of every node at one time.
type Sample struct {
	Time    time.Time
	Usage   map[string]Usage
	Traffic map[string]Traffic
}

// Sample reads every node. Nodes that do not answer are left out.
func (f *Fleet) Sample() Sample {
	s := Sample{Time: time.Now(), Usage: make(map[string]Usage), Traffic: make(map[string]Traffic)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range f.Plans {
		wg.Go(func() {
			u, usageErr := ReadUsage(f.Nodes[p.Name].PID())
			t, trafficErr := f.ReadTraffic(p)
			if usageErr != nil || trafficErr != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			s.Usage[p.Name] = u
			s.Traffic[p.Name] = t
		})
	}
	wg.Wait()
	return s
}

// Rates are the differences of two samples, for the mean and the largest node.
type Rates struct {
	// CPUMean and CPUMax are percent of a core, BytesMean and BytesMax bytes per second of control traffic.
	CPUMean, CPUMax     float64
	BytesMean, BytesMax float64
	// Busiest is the node with the most control traffic.
	Busiest string
	// ResidentMax and AnonymousMax are bytes at the second sample.
	ResidentMax, AnonymousMax int64
}

// Between returns the rates between two samples of the same processes.
func Between(a, b Sample) Rates {
	var r Rates
	seconds := b.Time.Sub(a.Time).Seconds()
	for name, after := range b.Usage {
		before, ok := a.Usage[name]
		if !ok {
			continue
		}
		cpu := 100 * (after.CPU - before.CPU).Seconds() / seconds
		rate := float64(b.Traffic[name].Total()-a.Traffic[name].Total()) / seconds
		r.CPUMean += cpu / float64(len(b.Usage))
		r.BytesMean += rate / float64(len(b.Usage))
		r.CPUMax = max(r.CPUMax, cpu)
		if rate > r.BytesMax {
			r.BytesMax, r.Busiest = rate, name
		}
		r.ResidentMax = max(r.ResidentMax, after.Resident)
		r.AnonymousMax = max(r.AnonymousMax, after.Anonymous)
	}
	return r
}

// Install is one version that a node put in force.
type Install struct {
	Version uint64 `json:"version"`
	// LagMS is the time from the log's storing the record until the version was in force, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// Installs reads the versions that a node put in force lately.
func (f *Fleet) Installs(p Plan) ([]Install, error) {
	_, body, err := f.HTTP.Get(p.URL(AdminPort) + "/convergence")
	if err != nil {
		return nil, err
	}
	var installs []Install
	if err := json.Unmarshal(body, &installs); err != nil {
		return nil, fmt.Errorf("convergence of %s: %w: %s", p.Name, err, body)
	}
	return installs, nil
}

// Lags returns the lag of every node for every version above a bound, in milliseconds, and the number of
// node-version pairs that are missing.
func (f *Fleet) Lags(above uint64, versions int) (lags []int64, missing int) {
	for _, p := range f.Plans {
		installs, err := f.Installs(p)
		if err != nil {
			missing += versions
			continue
		}
		found := 0
		for _, i := range installs {
			if i.Version > above {
				lags = append(lags, i.LagMS)
				found++
			}
		}
		missing += max(0, versions-found)
	}
	return lags, missing
}

// Percentile returns the value below which the share p of the values lies; 0 without values.
func Percentile(values []int64, p float64) int64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// LogStats are the totals of the log service.
type LogStats struct {
	Requests      int64 `json:"requests"`
	BytesRead     int64 `json:"bytes_read"`
	BytesAppended int64 `json:"bytes_appended"`
}

// ReadLogStats reads the totals of the log service.
func (f *Fleet) ReadLogStats() (LogStats, error) {
	var s LogStats
	_, body, err := f.HTTP.Get(f.LogURL() + "/stats")
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s)
}
