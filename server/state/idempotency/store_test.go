package idempotency

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = Limits{Retention: time.Minute, RecordsMax: 3, AnswerBytesMax: 300}
)

// TestMain fixes the seed of the property tests, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func attempt(id uint64) Attempt { return Attempt{Sender: "n1", ID: id} }

func done(size int) Result {
	return Result{State: Done, Answer: &Answer{Status: 200, Body: make([]byte, size)}}
}

// verdictCases guard the verdict for each state of a key.
var verdictCases = map[string]struct {
	prepare func(s *Store)
	after   time.Duration
	digest  uint64
	want    Kind
}{
	"new":     {func(*Store) {}, 0, 1, Run},
	"running": {func(s *Store) { s.Begin(start, attempt(2), "k", 1, "a") }, 0, 1, Wait},
	"running never expires": {
		func(s *Store) { s.Begin(start, attempt(2), "k", 1, "a") },
		time.Hour, 1, Wait,
	},
	"done": {func(s *Store) { finish(s, "k", start, done(1)) }, 59 * time.Second, 1, Recorded},
	"done long after its begin": {
		func(s *Store) { finish(s, "k", start.Add(time.Hour), done(1)) },
		time.Hour + 59*time.Second, 1, Recorded,
	},
	"expired":       {func(s *Store) { finish(s, "k", start, done(1)) }, time.Minute, 1, Run},
	"unknown":       {func(s *Store) { finish(s, "k", start, Result{State: Unknown}) }, 0, 1, Lost},
	"not run":       {func(s *Store) { finish(s, "k", start, Result{State: NotRun}) }, 0, 1, Run},
	"other request": {func(s *Store) { finish(s, "k", start, done(1)) }, 0, 2, Reused},
	"fenced":        {func(s *Store) { s.Fence(start, attempt(1), "k", 1) }, 0, 1, Fenced},
	"fence expired": {func(s *Store) { s.Fence(start, attempt(1), "k", 1) }, time.Minute, 1, Run},
	"other fenced":  {func(s *Store) { s.Fence(start, attempt(9), "k", 1) }, 0, 1, Run},
	"moved": {func(s *Store) {
		finish(s, "k", start, done(1))
		s.Export(start, 0, Page{1, 1}, true, func(string) bool { return true })
	}, 0, 1, Moved},
	"restored": {func(s *Store) {
		finish(s, "k", start, done(1))
		s.MarkMoved("k")
		s.Restore("k")
	}, 0, 1, Recorded},
	"full": {func(s *Store) {
		for i := range limits.RecordsMax {
			finish(s, fmt.Sprint(i), start, done(1))
		}
	}, 0, 1, Full},
	"answer dropped": {func(s *Store) {
		finish(s, "k", start, done(150))
		finish(s, "l", start, done(150))
	}, 0, 1, Recorded},
	"abandoned": {func(s *Store) {
		s.Begin(start, attempt(2), "k", 1, "b")
		s.Abandon(start, "gone", func(node string) bool { return node == "b" })
	}, 0, 1, Lost},
	"done import": {func(s *Store) {
		s.Begin(start, attempt(2), "k", 1, "b")
		s.Import(start, Record{Key: "k", Digest: 1, State: Done, Expires: start.Add(time.Second)})
		s.Import(start, Record{Key: "k", Digest: 1, State: Running, Executor: "b"})
		s.Import(start, Record{Key: "k", Digest: 1, State: NotRun, Executor: "b"})
	}, 0, 1, Recorded},
	"import far in the future expires": {func(s *Store) {
		s.Import(start, Record{Key: "k", Digest: 1, State: Done, Expires: start.Add(time.Hour)})
	}, time.Minute, 1, Run},
	"not-run import of another executor": {func(s *Store) {
		s.Begin(start, attempt(2), "k", 1, "a")
		s.Import(start, Record{Key: "k", Digest: 1, State: NotRun, Executor: "b"})
	}, 0, 1, Wait},
}

func finish(s *Store, key string, at time.Time, r Result) {
	s.Begin(start, attempt(2), key, 1, "a")
	s.Finish(at, key, r)
}

func TestVerdicts(t *testing.T) {
	for name, tc := range verdictCases {
		t.Run(name, func(t *testing.T) {
			s := New(limits)
			tc.prepare(s)
			v := s.Begin(start.Add(tc.after), attempt(1), "k", tc.digest, "a")
			assert.Equal(t, v.Kind, tc.want)
			assert.Equal(t, v.Record.Dropped, name == "answer dropped" || name == "done import")
			assert.Assert(t, s.Counts().AnswerBytes <= limits.AnswerBytesMax)
			assert.Assert(t, s.Counts().Records <= limits.RecordsMax)
		})
	}
}

// TestExportPages guards against records that a transfer in pages leaves out or sends twice.
func TestExportPages(t *testing.T) {
	s := New(Limits{Retention: time.Minute, RecordsMax: 1000, AnswerBytesMax: 1 << 20})
	for i := range 500 {
		finish(s, fmt.Sprint(i), start, done(10))
		if i%2 == 0 {
			s.remove(s.records[fmt.Sprint(i)])
		}
	}
	seen := map[string]bool{}
	for cursor := uint64(0); ; {
		var page []Record
		page, cursor = s.Export(start, cursor, Page{7, 1 << 20}, true, func(string) bool { return true })
		for _, r := range page {
			assert.Assert(t, !seen[r.Key])
			seen[r.Key] = true
		}
		if cursor == 0 {
			break
		}
	}
	assert.Equal(t, len(seen), 250)
}

// model drives two stores, of which one at a time has custody, and knows when each key may run again.
type model struct {
	stores  [2]*Store
	owner   int
	now     time.Time
	ids     uint64
	running map[string]bool
	ended   map[string]time.Time
	fenced  map[Attempt]time.Time
}

func (m *model) begin(t *rapid.T) {
	key := rapid.SampledFrom([]string{"x", "y", "z", "w"}).Draw(t, "key")
	m.ids++
	a := attempt(rapid.Uint64Range(max(m.ids, 4)-3, m.ids+3).Draw(t, "id"))
	if m.stores[m.owner].Begin(m.now, a, key, 1, "a").Kind != Run {
		return
	}
	end, ok := m.ended[key]
	if m.running[key] || ok && m.now.Before(end.Add(limits.Retention)) {
		t.Fatalf("key %s was given a second permission", key)
	}
	if at, ok := m.fenced[a]; ok && m.now.Before(at.Add(limits.Retention)) {
		t.Fatalf("attempt %v runs although it is fenced", a)
	}
	m.running[key] = true
}

func (m *model) finish(t *rapid.T) {
	for _, key := range []string{"x", "y", "z", "w"} {
		if !m.running[key] || !rapid.Bool().Draw(t, "end") {
			continue
		}
		r := Result{State: rapid.SampledFrom([]State{Done, Unknown, NotRun}).Draw(t, "state")}
		if r.State == Done {
			r = done(rapid.IntRange(0, 300).Draw(t, "size"))
		}
		for _, s := range m.stores {
			s.Finish(m.now, key, r)
		}
		delete(m.running, key)
		if r.State != NotRun {
			m.ended[key] = m.now
		}
	}
}

func (m *model) fence(t *rapid.T) {
	a := attempt(m.ids + rapid.Uint64Range(1, 3).Draw(t, "ahead"))
	for _, s := range m.stores {
		if s.Fence(m.now, a, "fence only", 1).Kind == Fenced {
			m.fenced[a] = m.now
		}
	}
}

// transfer moves custody; a page may be repeated, as after a lost reply.
func (m *model) transfer(t *rapid.T) {
	from, to := m.stores[m.owner], m.stores[1-m.owner]
	for cursor := uint64(0); ; {
		records, next := from.Export(m.now, cursor, Page{2, 1 << 20}, true, func(string) bool { return true })
		for range rapid.IntRange(1, 2).Draw(t, "times") {
			for _, r := range records {
				if !to.Import(m.now, r) {
					return
				}
			}
		}
		if cursor = next; cursor == 0 {
			break
		}
	}
	m.owner = 1 - m.owner
}

// TestOneRunWithinRetention guards against a second permission to run a key within retention and against the run of a
// fenced attempt, for any sequence of operations.
func TestOneRunWithinRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			stores: [2]*Store{New(limits), New(limits)}, now: start,
			running: map[string]bool{}, ended: map[string]time.Time{}, fenced: map[Attempt]time.Time{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin":    m.begin,
			"finish":   m.finish,
			"fence":    m.fence,
			"transfer": m.transfer,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
				m.stores[0].Expire(m.now)
			},
		})
	})
}
