package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"wagtailford.example/standin/fleet"
)

// table counts the ends of all calls.
type table struct {
	sent, answered, refused, unknown int
	wrong, lost, runTwice            int
	latencies                        []int64
	examples                         []string
}

// maxExamples limits the broken calls that are printed.
const maxExamples = 10

// verify compares what callers were told with what the targets ran.
func (m *mesh) verify(calls []call) (*table, error) {
	t := &table{}
	runs, err := m.records()
	if err != nil {
		return t, err
	}
	for _, c := range calls {
		t.count(c, runs[c.id])
	}
	if t.lost+t.runTwice+t.wrong > 0 {
		return t, errors.New("a request was lost, ran twice or got a wrong answer")
	}
	if t.answered == 0 {
		return t, errors.New("no request was answered")
	}
	return t, nil
}

// records adds up how often the targets ran each request.
func (m *mesh) records() (map[string]int, error) {
	all := make(map[string]int)
	for _, p := range m.Plans {
		_, body, err := m.HTTP.Get(p.URL(fleet.TargetPort) + "/_records")
		if err != nil {
			return nil, err
		}
		var records map[string]int
		if err := json.Unmarshal(body, &records); err != nil {
			return nil, fmt.Errorf("records of target-%s: %w", p.Name, err)
		}
		for id, n := range records {
			all[id] += n
		}
	}
	return all, nil
}

func (t *table) count(c call, runs int) {
	t.sent++
	switch c.verdict {
	case answered:
		t.answered++
		t.latencies = append(t.latencies, c.latency.Microseconds())
		if runs == 0 {
			t.lost++
			t.example(c, runs)
		}
	case refused:
		t.refused++
		// A repeated idempotent request may have run under an earlier attempt.
		if !c.idempotent && runs > 0 {
			t.wrong++
			t.example(c, runs)
		}
	case unknown:
		t.unknown++
	case wrong:
		t.wrong++
		t.example(c, runs)
	default:
		t.lost++
		t.example(c, runs)
	}
	if !c.idempotent && runs > 1 {
		t.runTwice++
		t.example(c, runs)
	}
}

func (t *table) example(c call, runs int) {
	if len(t.examples) < maxExamples {
		t.examples = append(t.examples, fmt.Sprintf("%s idempotent=%v verdict=%s runs=%d %s", c.id, c.idempotent, c.verdict, runs, c.detail))
	}
}

func (t *table) print(c *convergence) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "OUTCOME\tREQUESTS")
	fmt.Fprintf(w, "answered\t%d\n", t.answered)
	fmt.Fprintf(w, "refused, not run\t%d\n", t.refused)
	fmt.Fprintf(w, "unknown\t%d\n", t.unknown)
	fmt.Fprintf(w, "wrong or cut answers\t%d\n", t.wrong)
	fmt.Fprintf(w, "latency p50, p99\t%v, %v\n",
		time.Duration(fleet.Percentile(t.latencies, 0.5))*time.Microsecond, time.Duration(fleet.Percentile(t.latencies, 0.99))*time.Microsecond)
	w.Flush()
	for _, example := range t.examples {
		fmt.Println("BROKEN:", example)
	}
	fmt.Printf("sent=%d answered=%d refused_not_run=%d unknown=%d lost=%d run_twice=%d versions=%d convergence_p99_ms=%d\n",
		t.sent, t.answered, t.refused, t.unknown, t.lost, t.runTwice, len(c.versions), c.p99())
}
