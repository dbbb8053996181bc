package logging

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// flushInterval is how long a line waits to be written together with others. It is what a killed process loses.
	flushInterval = 100 * time.Millisecond
	// pendingMax limits the bytes that wait to be written; a reader that stands still costs lines, never requests.
	pendingMax = 256 << 10
	// EventMax limits the lines of one event in a second. It is far above what an operator reads, and together with
	// pendingMax keeps the cost of a storm of lines bounded.
	EventMax = 100
)

// Line is the form of a log line.
type line struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
}

// Bounded writes log lines as JSON without ever blocking the goroutine that logs. Lines beyond the limits are dropped
// and counted by event; the counts are written once a second.
type Bounded struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	// second is the second that the counts below belong to.
	second     int64
	counts     map[string]int
	suppressed map[string]int
}

// NewBounded returns a handler that writes to out until the process ends.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, counts: make(map[string]int), suppressed: make(map[string]int)}
	go b.run()
	return b
}

// HandleLog takes an entry. Errors are always accepted as long as there is room.
func (b *Bounded) HandleLog(e *log.Entry) error {
	event, _ := e.Fields["event"].(string)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn(e.Timestamp.Unix())
	key := event + "/" + e.Level.String()
	b.counts[key]++
	if b.counts[key] > EventMax && e.Level < log.ErrorLevel {
		b.suppressed[key]++
		return nil
	}
	if !b.add(line{
		Time: e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"), Level: e.Level.String(), Message: e.Message,
		Fields: printable(e.Fields),
	}) {
		b.suppressed[key]++
	}
	return nil
}

// printable replaces values that JSON writes as empty objects.
func printable(fields log.Fields) log.Fields {
	out := make(log.Fields, len(fields))
	for name, value := range fields {
		if err, ok := value.(error); ok {
			value = err.Error()
		}
		out[name] = value
	}
	return out
}

// turn starts a new second and states what the last one suppressed.
func (b *Bounded) turn(second int64) {
	if second == b.second {
		return
	}
	b.second = second
	clear(b.counts)
	if len(b.suppressed) == 0 {
		return
	}
	fields := log.Fields{"event": "log_suppressed"}
	for key, n := range b.suppressed {
		fields[key] = n
	}
	if b.add(line{Time: time.Unix(second, 0).UTC().Format(time.RFC3339), Level: "warn", Message: "log lines suppressed", Fields: fields}) {
		clear(b.suppressed)
	}
}

// add appends a line and reports whether there was room.
func (b *Bounded) add(l line) bool {
	data, err := json.Marshal(l)
	if err != nil {
		data = fmt.Appendf(nil, `{"level":"error","message":"log line not encodable","fields":{"error":%q}}`, err)
	}
	if len(b.pending)+len(data) >= pendingMax {
		return false
	}
	b.pending = append(append(b.pending, data...), '\n')
	return true
}

func (b *Bounded) run() {
	for range time.Tick(flushInterval) {
		b.Flush()
	}
}

// Flush writes what is pending.
func (b *Bounded) Flush() {
	b.mu.Lock()
	data := b.pending
	b.pending = nil
	b.mu.Unlock()
	if len(data) == 0 {
		return
	}
	if _, err := b.out.Write(data); err != nil {
		// Standard output is gone; standard error is the only place left to say so.
		fmt.Fprintln(os.Stderr, "wagtaild: log lines lost:", err)
	}
}
