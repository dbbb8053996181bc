package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/protocol/wire"
	"wagtailford.example/server/state/config"
	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

var errDown = errors.New("down")

// fakeStore keeps records and statuses.
type fakeStore struct {
	mu       sync.Mutex
	down     bool
	records  map[string]Record
	end      uint64
	statuses []string
}

func (s *fakeStore) List(context.Context) ([]Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	var list []Record
	for _, r := range s.records {
		list = append(list, r)
	}
	return list, s.end, nil
}

func (s *fakeStore) Replace(_ context.Context, r Record, end uint64) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, false, errDown
	}
	if end != s.end {
		return 0, false, nil
	}
	s.end++
	s.records[r.Service] = r
	return s.end, true, nil
}

func (s *fakeStore) WriteStatus(_ context.Context, status Status) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	if text := status.Target + " " + status.State.String(); len(s.statuses) == 0 || s.statuses[len(s.statuses)-1] != text {
		s.statuses = append(s.statuses, text)
	}
	return nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) written() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.statuses)
}

func (s *fakeStore) record(service string) Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[service]
}

// logLines are the messages that were logged.
type logLines struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (l *logLines) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[e.Message] = true
	return nil
}

// fleet is a set of managers whose calls and views a test controls.
type fleet struct {
	mu       sync.Mutex
	store    *fakeStore
	managers []*Manager
	stops    []context.CancelFunc
	views    []*view.View
	// group is the partition of a node; nodes of different groups do not reach each other.
	group  []int
	orders []config.Rollout
	// offset is the position of the configuration in the views.
	offset uint64
	failV2 bool
	sentV2 int
	logs   *logLines
}

const fleetNodes = 5

func name(i int) string { return fmt.Sprintf("n%d", i) }

func startFleet(t *testing.T, o config.Rollout) *fleet {
	f := &fleet{store: &fakeStore{records: make(map[string]Record)}, group: make([]int, fleetNodes), orders: []config.Rollout{o}, logs: &logLines{seen: make(map[string]bool)}}
	f.setViews()
	for i := range fleetNodes {
		random := rand.New(rand.NewPCG(uint64(i), 2))
		f.managers = append(f.managers, NewManager(Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * time.Second}, Dependencies{
			Node: name(i), Process: 1, View: func() *view.View { return f.view(i) }, Store: f.store, Random: random.Uint64,
			Call: func(_ context.Context, address, _ string, args, reply any) error {
				return f.call(i, address, args, reply)
			},
			Log: &log.Logger{Handler: f.logs, Level: log.InfoLevel},
		}))
	}
	for i, m := range f.managers {
		ctx, cancel := context.WithCancel(t.Context())
		f.stops = append(f.stops, cancel)
		go m.Run(ctx)
		go f.send(ctx, i)
	}
	t.Cleanup(f.stop)
	return f
}

func (f *fleet) view(i int) *view.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.views[i]
}

// setViews makes every node take those of other groups for dead.
func (f *fleet) setViews() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views = nil
	for i := range fleetNodes {
		v := &view.View{
			Version: 1, Offset: f.offset, Content: &config.Content{Rollouts: f.orders},
			Nodes: make(map[string]*endpoint.Entry), ByService: make(map[string][]*endpoint.Entry),
		}
		for j := range fleetNodes {
			e := &endpoint.Entry{Node: name(j), Address: name(j), Service: "s", SoftwareVersion: fmt.Sprintf("v%d", 1+j%2)}
			e.State = endpoint.Alive
			if f.group[i] != f.group[j] {
				e.State = endpoint.Dead
			}
			v.Nodes[e.Node] = e
			v.ByService["s"] = append(v.ByService["s"], e)
		}
		f.views = append(f.views, v)
	}
}

func (f *fleet) call(from int, address string, args, reply any) error {
	f.mu.Lock()
	to := int(address[1] - '0')
	cut := f.group[from] != f.group[to]
	f.mu.Unlock()
	if cut {
		time.Sleep(callTimeout)
		return errDown
	}
	time.Sleep(time.Millisecond)
	*reply.(*wire.RolloutReply) = f.managers[to].HandleReport(args.(*wire.RolloutReport))
	return nil
}

// send makes 100 requests a second.
func (f *fleet) send(ctx context.Context, i int) {
	for ctx.Err() == nil {
		v := f.view(i)
		order := v.Content.Rollouts[0]
		p := f.managers[i].Begin(v, order.Service, 1, time.Now())
		p.Sent()
		f.mu.Lock()
		failed := f.failV2 && p.newer
		if p.newer {
			f.sentV2++
		}
		f.mu.Unlock()
		go func() {
			time.Sleep(5 * time.Millisecond)
			p.Ended(Attempt{Arrived: true, Counted: true, Failed: failed, Took: 5 * time.Millisecond})
			p.End()
		}()
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) deciderIndex() int { return int(DeciderOf("s", f.view(0).Nodes)[1] - '0') }

// cut separates a node from the others, which the others notice after a time.
func (f *fleet) cut(i int, noticed time.Duration) {
	f.mu.Lock()
	f.group[i] = 1
	f.mu.Unlock()
	time.Sleep(noticed)
	f.setViews()
}

func (f *fleet) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sentV2
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	// The loops see it at their next step.
	time.Sleep(2 * callTimeout)
}

func (f *fleet) assertStates(t *testing.T, want wire.RolloutState) {
	t.Helper()
	for i, m := range f.managers {
		assert.Equal(t, (*m.senders.Load())["s"].State(), want, "node %d", i)
	}
}

func (f *fleet) assertLogged(t *testing.T, message string) {
	t.Helper()
	f.logs.mu.Lock()
	defer f.logs.mu.Unlock()
	if f.logs.seen[message] {
		return
	}
	t.Errorf("no log line %q", message)
}

var ordered = config.Rollout{Service: "s", TargetVersion: "v2", Duration: 40 * time.Second, Position: 7}

// Guards against a rollout that does not go on, or goes on without a decider, after the decider has died.
func TestDeciderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, ordered)
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.sent() > 0)
		dead := f.deciderIndex()
		f.stops[dead]()
		go f.cut(dead, 3*time.Second)
		time.Sleep(newsTTL)
		before := f.sent()
		time.Sleep(time.Second)
		assert.Equal(t, f.sent(), before, "requests without news of a decider")
		time.Sleep(30 * time.Second)
		assert.DeepEqual(t, f.store.written(), []string{"v2 running", "v2 completed"})
	})
}

// Guards against two deciders that decide differently, and a node that never learns the decision, after a partition in which
// both sides reach the store.
func TestDeciderIsPartitioned(t *testing.T) {
	for _, bad := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, ordered)
			time.Sleep(10 * time.Second)
			isolated := f.deciderIndex()
			f.cut(isolated, 3*time.Second)
			f.mu.Lock()
			f.failV2 = bad
			f.mu.Unlock()
			time.Sleep(35 * time.Second)
			want := wire.RolloutCompleted
			if bad {
				want = wire.RolloutRolledBack
			}
			f.assertStates(t, want)
			assert.Assert(t, f.store.record("s").Decider != name(isolated), "decided by the node that hears of no other")
			assert.DeepEqual(t, f.store.written(), []string{"v2 running", "v2 " + want.String()})
			f.stop()
		})
	}
}

// Guards against a rollback that waits for the store, and a status that is not written when the store is back.
func TestRollbackWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, ordered)
		time.Sleep(15 * time.Second)
		f.store.setDown(true)
		f.mu.Lock()
		f.failV2 = true
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.assertStates(t, wire.RolloutRolledBack)
		assert.DeepEqual(t, f.store.written(), []string{"v2 running"})
		f.store.setDown(false)
		time.Sleep(time.Second)
		assert.DeepEqual(t, f.store.written(), []string{"v2 running", "v2 rolled_back"})
		f.assertLogged(t, "rollout rolled back")
	})
}

// Guards against an order that is not replaced by a newer one, and against versions that serve although no order allows it.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, ordered)
		give := func(target string, position uint64) {
			f.mu.Lock()
			f.orders = []config.Rollout{{Service: "s", TargetVersion: target, Duration: 20 * time.Second, Position: position}}
			f.mu.Unlock()
			f.setViews()
		}
		time.Sleep(5 * time.Second)
		give("v2", 8)
		time.Sleep(time.Second)
		f.assertLogged(t, "repeated order for the running rollout; it continues")
		give("v4", 9)
		time.Sleep(time.Second)
		f.assertLogged(t, "order replaces the running rollout")
		older := (*f.managers[0].senders.Load())["s"].Begin(time.Now(), 1).Filter()
		assert.Assert(t, older.Allows("v1") && !older.Allows("v2") && !older.Allows("v4"), "%+v", older)
		time.Sleep(20 * time.Second)
		f.assertStates(t, wire.RolloutRolledBack)
		give("v2", 10)
		time.Sleep(20 * time.Second)
		f.assertStates(t, wire.RolloutCompleted)
		only := (*f.managers[0].senders.Load())["s"].Begin(time.Now(), 1).Filter()
		assert.Assert(t, only.Allows("v2") && !only.Allows("v1") && !only.Allows("v4"))
		give("v2", 11)
		time.Sleep(time.Second)
		f.assertStates(t, wire.RolloutCompleted)
		f.assertLogged(t, "order for the version in force; nothing to do")
	})
}

// Guards against a final state that is forgotten when the store is restored from an older copy.
func TestRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, ordered)
		time.Sleep(38 * time.Second)
		f.assertStates(t, wire.RolloutCompleted)
		f.store.mu.Lock()
		f.store.records, f.store.statuses = make(map[string]Record), nil
		f.store.mu.Unlock()
		again := ordered
		again.Position = uint64(config.NewPosition(1, again.Position))
		f.mu.Lock()
		f.orders, f.offset = []config.Rollout{again}, uint64(config.NewPosition(1, 0))
		f.mu.Unlock()
		f.setViews()
		time.Sleep(3 * time.Second)
		f.assertStates(t, wire.RolloutCompleted)
		assert.DeepEqual(t, f.store.written(), []string{"v2 completed"})
		assert.Equal(t, f.store.record("s").State, "completed")
	})
}

// Guards against a node that starts while the store is away, gives up reading the records, and sends requests to a version that was
// rolled back; and against a slow read that replaces a later record.
func TestRolloutRecordsAreReadAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		record := Record{
			Service: ordered.Service, Order: ordered.Position, Target: ordered.TargetVersion, State: wire.RolloutRolledBack.String(), Revision: 2,
		}
		store := &fakeStore{down: true, records: map[string]Record{ordered.Service: record}}
		m := NewManager(testSettings, Dependencies{
			Node: "a", Log: &log.Logger{Handler: &logLines{seen: make(map[string]bool)}}, Store: store, Random: func() uint64 { return 0 },
		})
		go m.Restore(t.Context())
		time.Sleep(time.Minute)
		store.mu.Lock()
		store.down = false
		store.mu.Unlock()
		time.Sleep(time.Second)
		order := ordered
		assert.Equal(t, m.sender(&order).State(), wire.RolloutRolledBack)
		earlier := record
		earlier.Revision, earlier.State = 1, wire.RolloutRunning.String()
		m.takeRecords([]Record{earlier})
		m.mu.Lock()
		defer m.mu.Unlock()
		assert.DeepEqual(t, m.records[ordered.Service], record)
	})
}
