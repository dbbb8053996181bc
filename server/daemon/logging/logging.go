// Package logging filters log entries by a level that can be changed while other goroutines log. The level of an apex
// logger itself can't: it is a plain field.
package logging

import (
	"sync/atomic"

	"github.com/apex/log"
)

// level is the lowest level that is written. Its zero value is debug.
var level atomic.Int64

// Setup makes the default logger write entries at or above a level to the handler.
func Setup(h log.Handler, l log.Level) {
	SetLevel(l)
	log.SetLevel(log.DebugLevel)
	log.SetHandler(log.HandlerFunc(func(e *log.Entry) error {
		if e.Level < Level() {
			return nil
		}
		return h.HandleLog(e)
	}))
}

// Level returns the lowest level that is written.
func Level() log.Level { return log.Level(level.Load()) }

// SetLevel changes the lowest level that is written.
func SetLevel(l log.Level) { level.Store(int64(l)) }
