package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is the platform's store, as far as the system uses it.
type store struct {
	address string
	server  *http.Server

	mu    sync.Mutex
	parts map[string]*part
	era   uint64
	// down are partitions that answer 503.
	down    map[string]bool
	changed chan struct{}
}

type entry struct {
	offset uint64
	value  []byte
}

type part struct {
	first   uint64
	records [][]byte
	newest  map[string]entry
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), parts: map[string]*part{}, down: map[string]bool{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.latest)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) close() { s.server.Close() }

func (s *store) part(name string) *part {
	p := s.parts[name]
	if p == nil {
		p = &part{newest: map[string]entry{}}
		s.parts[name] = p
	}
	return p
}

func partOf(r *http.Request) string {
	return r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
}

// refuses answers 503 for a partition that is down.
func (s *store) refuses(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if s.down[partOf(r)] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

// put appends a record as the operator does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic+"/0"), append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) add(p *part, record []byte) {
	if len(record) > 0 && 1+int(record[0]) <= len(record) {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = entry{p.first + uint64(len(p.records)), value}
		}
	}
	p.records = append(p.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes a partition answer 503, or serve again.
func (s *store) setDown(name string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[name] = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2097152))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w, r) {
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p := s.part(partOf(r))
	end := p.first + uint64(len(p.records))
	if text := r.URL.Query().Get("as-of"); text != "" && text != strconv.FormatUint(end, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]uint64{"end": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.add(p, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	json.NewEncoder(w).Encode(map[string]uint64{"offset": end, "end": p.first + uint64(len(p.records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	until := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer until.Stop()
	for over := false; ; {
		s.mu.Lock()
		if s.refuses(w, r) {
			s.mu.Unlock()
			return
		}
		p := s.part(partOf(r))
		end := p.first + uint64(len(p.records))
		if from < p.first || from > end {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			json.NewEncoder(w).Encode(map[string]uint64{"first": p.first})
			return
		}
		if from < end || over {
			body := binary.BigEndian.AppendUint64(nil, end)
			body = binary.BigEndian.AppendUint64(body, p.first)
			for _, record := range p.records[from-p.first:] {
				if len(body)+4+len(record) > 1<<20 {
					break
				}
				body = append(binary.BigEndian.AppendUint32(body, uint32(len(record))), record...)
			}
			s.mu.Unlock()
			w.Write(body)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) latest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w, r) {
		return
	}
	p := s.part(partOf(r))
	after := r.URL.Query().Get("after")
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys {
		e := p.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": e.offset})
	}
	json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": p.first + uint64(len(p.records))})
}
