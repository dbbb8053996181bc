package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/daemon/settings"
)

// reloadInterval is the time between two looks at the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// reloader takes over a changed settings file while a node runs.
type reloader struct {
	file string
	node node
	seen os.FileInfo
}

// watch reloads on SIGHUP and when the file has changed, until ctx ends. An invalid file changes nothing.
func (r *reloader) watch(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	r.changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.changed()
			r.reload()
		case <-ticker.C:
			if r.changed() {
				r.reload()
			}
		}
	}
}

// changed reports whether the file differs from the last look.
func (r *reloader) changed() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		log.WithError(err).WithField("event", "reload").Warn("settings file cannot be looked at; the old settings stay")
		return false
	}
	last := r.seen
	r.seen = info
	return last != nil && (!info.ModTime().Equal(last.ModTime()) || info.Size() != last.Size())
}

func (r *reloader) reload() {
	next, err := settings.Load(r.file)
	if err != nil {
		log.WithError(err).WithField("event", "reload").Error("settings file rejected; the old settings stay")
		return
	}
	r.node.Reload(next)
}

// hangups returns the channel of SIGHUP, which would end the process otherwise.
func hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
