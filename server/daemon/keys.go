package daemon

import (
	"context"
	"errors"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/ownership"
	"wagtailford.example/server/state/endpoint"
)

// leaveKeys hands the key records over. The last member of a service has nobody to hand them to and keeps them.
func (d *Daemon) leaveKeys(ctx context.Context) error {
	err := d.keys.Leave(ctx)
	kept := errors.Is(err, ownership.ErrNoSuccessor)
	d.keysKept.Store(kept)
	if !kept {
		return err
	}
	log.Warn("no other member of the service can take the key records; this node keeps them")
	return nil
}

// updateFromTarget changes the node's entry as its target comes and goes. While the node keeps key records, its entry
// stays in the service, so that no other node takes its keys for handed over.
func (d *Daemon) updateFromTarget(change func(*endpoint.Entry)) {
	d.control.UpdateSelf(func(e *endpoint.Entry) {
		service := e.Service
		change(e)
		if e.State == endpoint.Alive {
			d.keysKept.Store(false)
			return
		}
		if d.keysKept.Load() {
			e.State = endpoint.Draining
			e.Service = service
		}
	})
}
