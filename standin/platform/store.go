package platform

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a store that is disturbed answers.
type Mode int

// Modes of a store.
const (
	Up Mode = iota
	// Busy answers 503, Many 429; nothing is done.
	Busy
	Many
	// Reset closes connections, Silent never answers.
	Reset
	Silent
)

// Faults disturb a store.
type Faults struct {
	Mode Mode
	// Hosts limits the mode to callers from these IP addresses; empty for all.
	Hosts map[string]bool
	// Topics limits the mode to calls for these topics; empty for all.
	Topics map[string]bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseAnswers is the share of appends that are done and not answered.
	LoseAnswers float64
	// Large is what pages hold of records that are larger than a page.
	Large Large
	// Hold keeps back the answers of calls that are done until it is closed; nil for no such answer.
	Hold <-chan struct{}
	// WithoutEra leaves out the era, as a store does that is never restored.
	WithoutEra bool
	// StaleNewest answers calls for the newest records as of the last call of FreezeNewest.
	StaleNewest bool
}

// Limits of a store, as the platform states them.
const (
	newestItems  = 500
	newestBytes  = 1_000_000
	recordMax    = 262_144
	callMax      = 2_097_152
	readKB       = 1024
	readWaitMax  = 30 * time.Second
	silentAnswer = time.Hour
)

// Store is an HTTP server with the interface of the platform's store.
type Store struct {
	Topics *topics
	// Calls counts calls, also those that were refused.
	Calls atomic.Int64

	mu     sync.Mutex
	faults Faults
	// frozen are the newest records of a topic that were kept by FreezeNewest.
	frozen map[string]newestAnswer
	random *rand.Rand
	server *http.Server
	addr   string
}

// StartStore serves a store on an address until Close.
func StartStore(address string, seed uint64) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{Topics: newTopics(), random: rand.New(rand.NewPCG(seed, 1)), addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	s.server = &http.Server{Handler: s.disturb(mux)}
	go s.server.Serve(l)
	return s, nil
}

// Address returns host:port.
func (s *Store) Address() string { return s.addr }

// Close ends the store and its connections.
func (s *Store) Close() { s.server.Close() }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// PublishConfig appends a configuration as the operator does, and returns its offset.
func (s *Store) PublishConfig(data []byte) uint64 { return s.AppendRecord("keyed.op", "config", data) }

// AppendRecord appends a record of the platform or of another program, which may be larger than those of a call, and returns
// its offset.
func (s *Store) AppendRecord(topic, key string, value []byte) uint64 {
	done, _ := s.Topics.append(topic+"/0", [][]byte{KeyedRecord(key, value)}, appendIf{})
	return done.Offset
}

// Copy takes a copy of the contents.
func (s *Store) Copy() Copy { return s.Topics.copy() }

// Restore puts the store back to a copy: what was written after it is lost, its offsets are given out again, the era rises by
// one, and reads that wait are answered.
func (s *Store) Restore(c Copy) { s.Topics.restore(c) }

// NewestValue returns the value of a key of a keyed topic; nil if there is none.
func (s *Store) NewestValue(topic, key string) []byte {
	s.Topics.mu.Lock()
	defer s.Topics.mu.Unlock()
	return s.Topics.part(topic + "/0").newest[key].value
}

// DropHistory removes the records of a topic; the newest of each key stay.
func (s *Store) DropHistory(topic string) { s.Topics.drop(topic + "/0") }

// FreezeNewest keeps the newest records of a topic as they are, for Faults.StaleNewest.
func (s *Store) FreezeNewest(topic string) {
	answer := s.Topics.latest(topic+"/0", "", s.pageOf(newestBytes))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = map[string]newestAnswer{topic + "/0": answer}
}

func (s *Store) current(host, topic string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if len(f.Hosts) > 0 && !f.Hosts[host] || len(f.Topics) > 0 && !f.Topics[topic] {
		f.Mode = Up
	}
	return f
}

// pageOf returns a page of at most the given number of bytes.
func (s *Store) pageOf(bytes int) pageSize {
	return pageSize{bytes: bytes, large: s.current("", "").Large}
}

func (s *Store) loses(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}

func (s *Store) disturb(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Calls.Add(1)
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		f := s.current(host, r.URL.Query().Get("topic"))
		time.Sleep(f.Delay)
		s.setEra(w, s.Topics.currentEra())
		switch f.Mode {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Many:
			w.WriteHeader(http.StatusTooManyRequests)
		case Reset:
			hangUp(w)
		case Silent:
			select {
			case <-r.Context().Done():
			case <-time.After(silentAnswer):
			}
			hangUp(w)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// headerEra is the number of restores, in every answer.
const headerEra = "Store-Era"

func (s *Store) setEra(w http.ResponseWriter, era uint64) {
	if !s.current("", "").WithoutEra {
		w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	}
}

// made sets the era in which an answer was made, and holds it back if it is to be late.
func (s *Store) made(w http.ResponseWriter, era uint64) {
	s.setEra(w, era)
	if hold := s.current("", "").Hold; hold != nil {
		<-hold
	}
}

// hangUp resets the connection of a request.
func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func partitionName(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, callMax))
	records, ok := splitRecords(body)
	if err != nil || !ok || slices.ContainsFunc(records, func(r []byte) bool { return len(r) > recordMax }) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	condition := appendIf{producer: query.Get("producer")}
	condition.epoch, _ = strconv.ParseUint(query.Get("epoch"), 10, 64)
	if end, err := strconv.ParseUint(query.Get("as-of"), 10, 64); err == nil {
		condition.end = &end
	}
	done, err := s.Topics.append(partitionName(r), records, condition)
	s.made(w, done.era)
	if s.loses(s.current("", "").LoseAnswers) {
		hangUp(w)
		return
	}
	switch {
	case errors.Is(err, errMoved):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, errFenced):
		w.WriteHeader(http.StatusConflict)
	}
	json.NewEncoder(w).Encode(done)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait-ms"))
	wait := min(time.Duration(waitMS)*time.Millisecond, readWaitMax)
	limit := readKB
	if kb, err := strconv.Atoi(query.Get("max-kb")); err == nil {
		limit = kb
	}
	answer := s.Topics.read(partitionName(r), from, s.pageOf(limit<<10), wait, r.Context().Done())
	s.made(w, answer.era)
	if answer.gone {
		w.WriteHeader(http.StatusGone)
	}
	if answer.removed {
		json.NewEncoder(w).Encode(map[string]uint64{"first": answer.first})
		return
	}
	w.Write(answer.body)
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	answer := s.Topics.latest(partitionName(r), r.URL.Query().Get("after"), s.pageOf(newestBytes))
	s.mu.Lock()
	if stale, ok := s.frozen[partitionName(r)]; ok && s.faults.StaleNewest {
		answer = stale
	}
	s.mu.Unlock()
	s.made(w, answer.era)
	json.NewEncoder(w).Encode(answer)
}

// newestAnswer is a page of the newest records of a topic.
type newestAnswer struct {
	Items []keyed `json:"items"`
	More  bool    `json:"more"`
	End   uint64  `json:"end"`
	era   uint64
}
