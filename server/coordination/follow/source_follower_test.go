package follow

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/config"
)

// scriptedSource returns a list of responses and cancels the test's context after the last one.
type scriptedSource struct {
	answers []func() (*config.Whole, error)
	waits   []time.Duration
	after   []uint64
	end     context.CancelFunc
}

func (s *scriptedSource) Next(_ context.Context, after uint64, wait time.Duration) (*config.Whole, error) {
	s.waits = append(s.waits, wait)
	s.after = append(s.after, after)
	if len(s.answers) == 0 {
		s.end()
		return nil, context.Canceled
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer()
}

// recordingSink records the configurations that were installed.
type recordingSink struct {
	offset    uint64
	sequences []uint64
}

func (i *recordingSink) Offset() uint64 { return i.offset }

func (i *recordingSink) InstallWhole(w *config.Whole) error {
	if w.Sequence == 99 {
		return &config.InvalidError{Sequence: w.Sequence, Detail: "for the test"}
	}
	i.offset = w.Offset
	i.sequences = append(i.sequences, w.Sequence)
	return nil
}

func whole(offset, sequence uint64) func() (*config.Whole, error) {
	return func() (*config.Whole, error) { return &config.Whole{Offset: offset, Sequence: sequence}, nil }
}

func failed() (*config.Whole, error) { return nil, errors.New("silent") }

func nothing() (*config.Whole, error) { return nil, nil }

func unreadable() (*config.Whole, error) {
	return nil, &UnreadableError{Offset: 7, Cause: errors.New("cut short")}
}

// Guards against a follower that keeps waiting on a dead connection after the source has recovered, reads an invalid
// publication repeatedly, or reads from an offset below that of a configuration that a peer delivered.
func TestWholeFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pollWait = 2 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		source := &scriptedSource{end: cancel, answers: []func() (*config.Whole, error){
			whole(3, 1), nothing, failed, failed, nothing, whole(5, 99), unreadable, whole(9, 4), nothing,
		}}
		sink := &recordingSink{}
		settings := SourceFollowerSettings{
			PollWait: pollWait, RetryMin: 50 * time.Millisecond, RetryMax: 500 * time.Millisecond, CoalesceDelay: time.Second,
		}
		NewSourceFollower(source, nil, sink, settings, &log.Logger{Handler: discard.Default}).Run(ctx)
		assert.DeepEqual(t, sink.sequences, []uint64{1, 4})
		assert.DeepEqual(t, source.after, []uint64{0, 3, 3, 3, 3, 3, 5, 7, 9, 9})
		p := pollWait
		assert.DeepEqual(t, source.waits, []time.Duration{p, p, p, 0, 0, p, p, p, p, p})
	})
}

// Guards against every reader of a failure domain reading each change from the source, and against a backup reader that
// does not take over after the readers of lower rank have gone.
func TestBackupReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &scriptedSource{end: cancel, answers: []func() (*config.Whole, error){
			whole(3, 1), nothing, nothing, nothing, nothing,
		}}
		settings := SourceFollowerSettings{
			PollWait: 2 * time.Second, BackupPollInterval: 6 * time.Second, CoalesceDelay: time.Second,
		}
		f := NewSourceFollower(source, nil, &recordingSink{}, settings, &log.Logger{Handler: discard.Default})
		f.SetRank(2)
		began := time.Now()
		go f.Run(ctx)
		time.Sleep(15 * time.Second)
		synctest.Wait()
		// A reader without a configuration waits for one at the source; a backup that has one does not.
		assert.DeepEqual(t, source.waits, []time.Duration{2 * time.Second, 0, 0, 0})
		f.SetRank(1)
		synctest.Wait()
		assert.Equal(t, time.Since(began), 15*time.Second)
		assert.DeepEqual(t, source.waits[4:], []time.Duration{6 * time.Second, 6 * time.Second})
		f.SetRank(0)
		assert.Equal(t, f.readWait(), 2*time.Second)
	})
}

// Guards against unknown values from a newer publisher that are replaced without a log entry and a count.
func TestUnknownWordsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &scriptedSource{end: cancel, answers: []func() (*config.Whole, error){
			func() (*config.Whole, error) {
				return &config.Whole{
					Offset: 3, Sequence: 1, Unknown: []config.UnknownWord{{Route: "r", Field: "kind", Word: "w"}},
				}, nil
			},
			whole(4, 2),
		}}
		logged := memory.New()
		f := NewSourceFollower(source, nil, &recordingSink{}, SourceFollowerSettings{CoalesceDelay: time.Second},
			&log.Logger{Handler: logged, Level: log.InfoLevel})
		f.Run(ctx)
		assert.DeepEqual(t, f.Counters.Values(), SourceCounterValues{Reads: 3, Installed: 2, UnknownWords: 1})
		named := 0
		for _, entry := range logged.Entries {
			if entry.Fields.Get("event") == "configuration_word_unknown" && entry.Fields.Get("route") == "r" {
				named++
			}
		}
		assert.Equal(t, named, 1)
	})
}

// skippingSink has a configuration in force that a read one does not replace.
type skippingSink struct{ offset uint64 }

func (s skippingSink) Offset() uint64 { return s.offset }

func (skippingSink) InstallWhole(*config.Whole) error { return nil }

// Guards against a line and a counter which say that a configuration came in force that was skipped: because its number is
// lower, or because a peer sent a newer one meanwhile.
func TestSkippedConfigurationIsNotCountedAsInstalled(t *testing.T) {
	for _, c := range []struct {
		inForce  uint64
		rejected int64
	}{{3, 1}, {9, 0}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			lines := memory.New()
			source := &scriptedSource{end: cancel, answers: []func() (*config.Whole, error){whole(7, 1)}}
			f := NewSourceFollower(source, nil, skippingSink{c.inForce}, SourceFollowerSettings{PollWait: time.Second}, &log.Logger{Handler: lines})
			f.Run(ctx)
			assert.Equal(t, f.Counters.Installed.Load(), int64(0))
			assert.Equal(t, f.Counters.Rejected.Load(), c.rejected)
			assert.Equal(t, len(lines.Entries), int(c.rejected))
		})
	}
}
