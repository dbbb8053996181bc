package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// TargetSettings describe a target.
type TargetSettings struct {
	// Instance names one start of the target.
	Instance string
	Service  string
	Zone     string
	// Version is the software version that the target states; empty means v1.
	Version string
	// Listen is the address of the target, Control that of the node beside it.
	Listen, Control string
	// Reported is the address that the target states, if it is reached by another one than it listens on.
	Reported string
	Slots    int
	// Work is the mean time that a request takes.
	Work time.Duration
	// Beat is the time between two reports, ReportDelay how late each of them arrives, also if the target has ended meanwhile.
	Beat, ReportDelay time.Duration
	Seed              uint64
	// CrashPath is the path of requests that crash the target when it begins to run them; empty for none. Crashed is called in a
	// goroutine of its own and must call Crash.
	CrashPath string
	Crashed   func(*Target)
}

// TargetFaults disturb a target. The numbers other than Slow are shares of the requests.
type TargetFaults struct {
	// Slow multiplies the time that requests take; 0 means 1. Least is the shortest time that they take.
	Slow  float64
	Least time.Duration
	// Shed requests are refused as not run, Fail ones end with an error.
	Shed, Fail float64
	// FailPrefix limits Fail to paths that begin with it, FailFrom to times at which at least this number of requests run.
	FailPrefix string
	FailFrom   int
	// Lose requests run, and their connection is reset in place of the answer; Cut ones get half of it.
	Lose, Cut float64
	// Extra answers are followed by a second one, Unframed ones end with the connection.
	Extra, Unframed float64
	// Malformed is the form of MalformedAnswers that every answer has, Unusual that of UnusualAnswers; empty for none. After it the
	// target closes the connection, or with KeepsOpen leaves that to the node.
	Malformed, Unusual string
	KeepsOpen          bool
	// RepeatRefusals writes the last refusal of a connection once more before the answer to the next request on it.
	RepeatRefusals bool
	// RefusalsWithoutID leaves the id of the request out of refusals.
	RefusalsWithoutID bool
	// Limits are the values of the fields in which the target states the rate of requests that it takes; none if it states
	// none. The target does not enforce it.
	Limits []string
	// StatesLeaving makes all responses say that the target leaves, without a report.
	StatesLeaving bool
	// Silent targets never answer a request that finds no slot, nor anything further on its connection.
	Silent bool
	// Holds is the number of requests that the target runs at a time; 0 means as many as it states.
	Holds int
	// KeepsBroken lets requests run on, and keep their slot, after their connection has closed.
	KeepsBroken bool
}

// Run is a request as a target saw it.
type Run struct {
	RequestID, Instance, Method, Path, Body string
	CallerService, ExpectInstance           string
	// Organisation and Authorization are the values of these fields, joined by commas.
	Organisation, Authorization string
	// TimeLeft is what the request said is left of its time.
	TimeLeft time.Duration
	At       time.Time
	// Ended is true if the request was run to its end, Dropped if its connection closed before.
	Ended, Dropped bool
}

// Arrival is a request that reached a target, whether it ran or not.
type Arrival struct {
	RequestID, Instance string
	At                  time.Time
	// Limit is the limit that the response states; empty if it states none.
	Limit string
	// StatesLeaving is true if the response says that the target leaves.
	StatesLeaving bool
	// Unanswered is true if there is no response, because the target was silent.
	Unanswered bool
}

// Target is an application instance beside a node, with the habits of the platform's targets.
type Target struct {
	settings TargetSettings
	born     int64
	listener net.Listener
	server   *http.Server
	client   *http.Client
	stop     context.CancelFunc
	beats    sync.WaitGroup

	mu       sync.Mutex
	faults   TargetFaults
	random   *rand.Rand
	runs     []*Run
	arrivals []Arrival
	sequence int
	state    string
	// running is the number of requests that hold a slot.
	running int
}

// StartTarget serves requests and reports to the node until Close.
func StartTarget(s TargetSettings) (*Target, error) {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		settings: s, born: time.Now().UnixMilli(), listener: l, stop: cancel, state: "ready",
		client: &http.Client{Timeout: time.Second},
		random: rand.New(rand.NewPCG(s.Seed, 5)),
	}
	t.server = &http.Server{Handler: t, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, lastRefusalKey{}, new(string))
	}}
	t.beats.Go(func() { t.beat(ctx) })
	// The first request may already end the target, and Crash waits for the beats.
	go t.server.Serve(l)
	return t, nil
}

// Address returns host:port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Instance returns the name of this start of the target.
func (t *Target) Instance() string { return t.settings.Instance }

func (t *Target) reported() string {
	if t.settings.Reported != "" {
		return t.settings.Reported
	}
	return t.Address()
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns what the target ran so far.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Run, len(t.runs))
	for i, r := range t.runs {
		list[i] = *r
	}
	return list
}

// Crash closes everything at once.
func (t *Target) Crash() {
	t.stop()
	t.server.Close()
	t.beats.Wait()
}

// Drain reports that the target leaves, and returns true once the node has acknowledged it.
func (t *Target) Drain() bool {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	return t.report()
}

// Leave tells the node that the target is gone, with or without a drain before. It serves on, and reports no more.
func (t *Target) Leave() bool { return t.notifyLeaving(nil) }

// LeaveWithStart is Leave with a notice that states the start of the target.
func (t *Target) LeaveWithStart() bool {
	return t.notifyLeaving(fmt.Appendf(nil, `{"born":%d}`, t.born))
}

func (t *Target) notifyLeaving(notice []byte) bool {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.stop()
	req, err := http.NewRequest(http.MethodDelete, t.reportURL(), bytes.NewReader(notice))
	return err == nil && t.acknowledged(req)
}

// Arrivals returns the requests that have reached the target so far, without health checks.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.arrivals)
}

func (t *Target) reportURL() string {
	return "http://" + t.settings.Control + "/instances/" + t.settings.Instance
}

func (t *Target) beat(ctx context.Context) {
	ticker := time.NewTicker(t.settings.Beat)
	defer ticker.Stop()
	for {
		if t.settings.ReportDelay > 0 {
			report := t.encodeReport()
			time.AfterFunc(t.settings.ReportDelay, func() { t.deliver(report) })
		} else {
			t.report()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) report() bool { return t.deliver(t.encodeReport()) }

// encodeReport returns the next report.
func (t *Target) encodeReport() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	body := map[string]any{
		"address": t.reported(), "born": t.born,
		"info":   map[string]any{"service": t.settings.Service, "version": cmp.Or(t.settings.Version, "v1"), "zone": t.settings.Zone, "slots": t.settings.Slots},
		"status": map[string]any{"state": t.state, "sequence": t.sequence, "cold-left-s": 0},
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // The map above can always be encoded.
	}
	return data
}

func (t *Target) deliver(report []byte) bool {
	req, err := http.NewRequest(http.MethodPut, t.reportURL(), bytes.NewReader(report))
	return err == nil && t.acknowledged(req)
}

func (t *Target) acknowledged(req *http.Request) bool {
	resp, err := t.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// fate is what happens to one request.
type fate struct {
	shed, fail, lose, cut, extra, unframed bool
	silent, keepsBroken, keepsOpen         bool
	malformed, unusual                     string
	work                                   time.Duration
}

func (t *Target) draw(path string) fate {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.faults
	hit := func(share float64) bool { return t.random.Float64() < share }
	slow := max(f.Slow, 1)
	if !strings.HasPrefix(path, f.FailPrefix) || t.running < f.FailFrom {
		f.Fail = 0
	}
	return fate{
		shed: hit(f.Shed), fail: hit(f.Fail), lose: hit(f.Lose), cut: hit(f.Cut), extra: hit(f.Extra), unframed: hit(f.Unframed),
		silent: f.Silent, keepsBroken: f.KeepsBroken, keepsOpen: f.KeepsOpen, malformed: f.Malformed, unusual: f.Unusual,
		work: max(f.Least, time.Duration(t.random.ExpFloat64()*slow*float64(t.settings.Work))),
	}
}

// enter takes a slot, and returns false if there is none.
func (t *Target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	holds := t.settings.Slots
	if t.faults.Holds > 0 {
		holds = min(holds, t.faults.Holds)
	}
	if t.running >= holds {
		return false
	}
	t.running++
	return true
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// lastRefusalKey is the context key of the last refusal that was written to a connection.
type lastRefusalKey struct{}

// refuse refuses a request as not run, and keeps the refusal for RepeatRefusals.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.RefusalsWithoutID {
		w.Header().Del("Request-Id")
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	last, ok := r.Context().Value(lastRefusalKey{}).(*string)
	if !ok || !faults.RepeatRefusals {
		return
	}
	*last = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
	if id := w.Header().Get("Request-Id"); id != "" {
		*last += "Request-Id: " + id + "\r\n"
	}
	*last += "Content-Length: 0\r\n\r\n"
}

// HealthPath answers health checks.
const HealthPath = "/healthz"

func (t *Target) health(w http.ResponseWriter) {
	t.mu.Lock()
	leaving := t.state != "ready" || t.faults.StatesLeaving
	t.mu.Unlock()
	w.Header().Set("Instance-Id", t.settings.Instance)
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP runs a request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		t.health(w)
		return
	}
	arrival := t.arrive(r, w.Header())
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != t.settings.Instance {
		w.Header().Set("Instance-Id", t.settings.Instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := t.draw(r.URL.Path)
	full := !t.enter()
	if !full {
		defer t.leave()
	}
	if full && f.silent {
		t.mu.Lock()
		t.arrivals[arrival].Unanswered = true
		t.mu.Unlock()
		// The server reads nothing more from the connection while this request is open.
		<-r.Context().Done()
		return
	}
	if full || f.shed {
		t.refuse(w, r)
		return
	}
	run := t.begin(r, string(body))
	if t.settings.CrashPath != "" && r.URL.Path == t.settings.CrashPath {
		go t.settings.Crashed(t)
		<-r.Context().Done()
		return
	}
	broken := r.Context().Done()
	if f.keepsBroken {
		broken = nil
	}
	select {
	case <-time.After(f.work):
	case <-broken:
		t.end(run, func(run *Run) { run.Dropped = true })
		return
	}
	t.end(run, func(run *Run) { run.Ended = true })
	t.answer(w, r, f)
}

// arrive notes an arrival and adds to the header of its response what the target says of itself in every response. It returns
// the position of the arrival in the list.
func (t *Target) arrive(r *http.Request, header http.Header) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := ""
	if len(t.faults.Limits) > 0 {
		limit = t.faults.Limits[0]
	}
	t.arrivals = append(t.arrivals, Arrival{
		RequestID: r.Header.Get("Request-Id"), Instance: t.settings.Instance, At: time.Now(), Limit: limit,
		StatesLeaving: t.faults.StatesLeaving,
	})
	for _, limit := range t.faults.Limits {
		header.Add("Server-Limit", limit)
	}
	if t.faults.StatesLeaving {
		header.Set("Server-Leaving", "1")
	}
	return len(t.arrivals) - 1
}

func (t *Target) begin(r *http.Request, body string) *Run {
	left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	run := &Run{
		RequestID: r.Header.Get("Request-Id"), Instance: t.settings.Instance, Method: r.Method, Path: r.RequestURI, Body: body,
		CallerService: r.Header.Get("Caller-Service"), ExpectInstance: r.Header.Get("Expect-Instance"),
		Organisation: strings.Join(r.Header.Values("Tenant"), ","), Authorization: strings.Join(r.Header.Values("Authorization"), ","),
		TimeLeft: time.Duration(left) * time.Millisecond, At: time.Now(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, run)
	return run
}

func (t *Target) end(run *Run, note func(*Run)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	note(run)
}

// AnswerBody is the body of the answer to a request.
func AnswerBody(requestID string) string { return "answer to " + requestID + "\n" }

// Signature is the signature of the answer to a request.
func Signature(requestID string) string { return "sig-" + requestID }

func (t *Target) answer(w http.ResponseWriter, r *http.Request, f fate) {
	id := r.Header.Get("Request-Id")
	status, body := "200 OK", AnswerBody(id)
	if f.fail {
		status, body = "500 Internal Server Error", "failed\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n", status, id, Signature(id))
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	last, _ := r.Context().Value(lastRefusalKey{}).(*string)
	switch {
	case last != nil && *last != "":
		t.raw(w, *last+framed)
	case f.malformed != "":
		t.writeForm(w, MalformedAnswers[f.malformed](head+malformedStatements, body), f.keepsOpen)
	case f.unusual != "":
		// The target reads no further request from a connection that it has taken from the HTTP library.
		t.writeForm(w, UnusualAnswers[f.unusual](head+"Connection: close\r\n", body), f.keepsOpen)
	case f.lose:
		hangUp(w)
	case f.cut:
		t.raw(w, framed[:len(framed)-len(body)/2])
	case f.unframed:
		t.raw(w, head+"Connection: close\r\n\r\n"+body)
	case f.extra:
		t.raw(w, framed+fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 5\r\n\r\nextra", id))
	default:
		w.Header().Set("Response-Signature", Signature(id))
		if f.fail {
			w.WriteHeader(http.StatusInternalServerError)
		}
		io.WriteString(w, body)
	}
}

// raw writes bytes past the HTTP library and ends the connection in an orderly way.
func (t *Target) raw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	io.WriteString(conn, text)
}
