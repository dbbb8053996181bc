package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is one record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: keyed topics of one partition each, as far as the system uses them.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// down is true while the store answers every call with 503.
	down bool
}

func (b *bench) newStore() *store {
	s := &store{address: b.newIP() + ":8142", topics: make(map[string][]record), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go server.Serve(b.listen(s.address))
	return s
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put appends the newest value of a key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, record{key: key, value: value})
}

func (s *store) append(topic string, r ...record) {
	s.topics[topic] = append(s.topics[topic], r...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	topic, asOf := r.URL.Query().Get("topic"), r.URL.Query().Get("as-of")
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	if asOf != "" && asOf != strconv.Itoa(offset) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": offset})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+size]
		key := 1 + int(content[0])
		s.append(topic, record{key: string(content[1:key]), value: bytes.Clone(content[key:])})
		body = body[4+size:]
	}
	reply(w, http.StatusOK, map[string]int{"offset": offset, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for waits := wait > 0; ; {
		s.mu.Lock()
		records, changed := s.topics[query.Get("topic")], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < len(records) || !waits {
			_, _ = w.Write(encodePage(records, from))
			return
		}
		select {
		case <-changed:
		case <-limit:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
}

func encodePage(records []record, from int) []byte {
	page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, r := range records[from:] {
		content := append([]byte{byte(len(r.key))}, r.key...)
		content = append(content, r.value...)
		page = binary.BigEndian.AppendUint32(page, uint32(len(content)))
		page = append(page, content...)
	}
	return page
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	query := r.URL.Query()
	s.mu.Lock()
	records := s.topics[query.Get("topic")]
	s.mu.Unlock()
	newest := make(map[string]item)
	for offset, r := range records {
		newest[r.key] = item{Key: r.key, Value: base64.StdEncoding.EncodeToString(r.value), Offset: offset}
	}
	items := []item{}
	for key, i := range newest {
		if key > query.Get("after") && i.Value != "" {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": len(records)})
}

// host is the host of all routes.
const host = "ficu95.example"

// route is a route of the configuration.
type route struct {
	name, kind, prefix, service string
}

// publish writes a configuration like that of PROTOCOL.md, with further routes that nobody uses.
func (s *store) publish(version, idleRoutes int, services []string, routes ...route) {
	var rules, clusters []string
	for i := range idleRoutes {
		routes = append(routes, route{
			name: fmt.Sprintf("r-idle%d", i), kind: "idempotent", prefix: fmt.Sprintf("/idle%d/", i), service: services[0],
		})
	}
	for _, r := range routes {
		rules = append(rules, fmt.Sprintf(`{"name":%q,"kind":%q,"target-latency-s":0.8,"priority":1,"match":{"path-prefix":%q},`+
			`"action":{"service":%q,"timeout-s":2.5,"max-attempts":2}}`, r.name, r.kind, r.prefix, r.service))
	}
	for _, name := range services {
		clusters = append(clusters, fmt.Sprintf(`{"name":%q,"health-path":"/healthz","max-connections":130,"protocol":"h1","tls":false}`, name))
	}
	s.put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,`+
		`"header-timeout-s":3,"idle-timeout-s":15},"listeners":[{"host":%q,"rules":[%s]}],"clusters":[%s]}`,
		version, host, strings.Join(rules, ","), strings.Join(clusters, ",")))
}
