package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"

	"wagtailford.example/standin/fleet"
	"wagtailford.example/standin/target"
)

// Load of the demonstration.
const (
	callerCount   = 8
	callerPause   = 5 * time.Millisecond
	callAttempts  = 12
	attemptPause  = 250 * time.Millisecond
	bodyBytesMax  = 4096
	callerSeed    = 20260101
	callerName    = "demo"
	catalogPrefix = "/catalog"
	ordersPrefix  = "/orders"
)

// verdict is what a caller knows at the end about one request.
type verdict string

// Verdicts of a caller.
const (
	answered verdict = "answered"
	refused  verdict = "refused-not-run"
	unknown  verdict = "unknown"
	wrong    verdict = "wrong-answer"
	none     verdict = "none"
)

// call is one request of a caller with its end.
type call struct {
	id         string
	idempotent bool
	verdict    verdict
	detail     string
	latency    time.Duration
}

// load sends requests until it is stopped.
type load struct {
	mesh *mesh
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	calls []call
}

func startLoad(m *mesh) *load {
	l := &load{mesh: m, stop: make(chan struct{})}
	for i := range callerCount {
		l.wg.Add(1)
		go l.caller(rand.New(rand.NewPCG(callerSeed, uint64(i))))
	}
	return l
}

// finish stops the callers and returns their calls.
func (l *load) finish() []call {
	close(l.stop)
	l.wg.Wait()
	return l.calls
}

func (l *load) caller(random *rand.Rand) {
	defer l.wg.Done()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(callerPause):
		}
		c := l.one(random)
		l.mu.Lock()
		l.calls = append(l.calls, c)
		l.mu.Unlock()
	}
}

// one makes one request and repeats it at other nodes under the same key until its end is known, as a caller that
// wants an answer does.
func (l *load) one(random *rand.Rand) call {
	id := uuid.Must(uuid.NewV7()).String()
	c := call{id: id, idempotent: random.IntN(2) == 0, verdict: none}
	body := make([]byte, random.IntN(bodyBytesMax))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	method, path := consts.MethodPost, ordersPrefix
	headers := map[string]string{target.HeaderRequestID: id, "Wagtail-Caller": callerName}
	if c.idempotent {
		method, path, body = consts.MethodGet, catalogPrefix, nil
	} else {
		headers["Idempotency-Key"] = id
	}
	start := time.Now()
	for range callAttempts {
		node := l.mesh.Plans[random.IntN(len(l.mesh.Plans))]
		r, err := l.mesh.HTTP.Do(method, node.URL(fleet.IngressPort)+path, headers, body)
		if err != nil {
			c.detail = err.Error()
			time.Sleep(attemptPause)
			continue
		}
		c.verdict, c.detail = judge(r, id, body)
		if c.verdict == answered || c.verdict == wrong {
			break
		}
		time.Sleep(attemptPause)
	}
	c.latency = time.Since(start)
	return c
}

// judge checks that an answer is whole and belongs to the request.
func judge(r fleet.Reply, id string, body []byte) (verdict, string) {
	if r.Outcome == string(refused) || r.Outcome == string(unknown) {
		return verdict(r.Outcome), r.Reason
	}
	var a target.Answer
	if r.Outcome != string(answered) || r.Status != consts.StatusOK {
		return wrong, fmt.Sprintf("status %d outcome %q: %.200s", r.Status, r.Outcome, r.Body)
	}
	if err := json.Unmarshal(r.Body, &a); err != nil {
		return wrong, err.Error()
	}
	if a.RequestID != id || a.Padding != target.Padding(id) || a.BodyHash != target.Hash(body) {
		return wrong, "answer to another request, or cut"
	}
	return answered, ""
}
