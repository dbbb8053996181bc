package daemon

import (
	"context"
	"time"

	"github.com/apex/log"

	"wagtailford.example/server/coordination/fanout"
	"wagtailford.example/server/coordination/seeds"
	"wagtailford.example/server/state/endpoint"
)

const (
	// discoveryInterval is the time between two attempts to publish this node or to find others while it knows none.
	discoveryInterval = 500 * time.Millisecond
	// directoryTimeout limits one call to the directory, patientTimeout the calls of each patientInterval-th attempt, for a store
	// that takes longer to answer.
	directoryTimeout = time.Second
	patientTimeout   = 4 * time.Second
	patientInterval  = 4
	// relistInterval is the time between two reads of the directory while the view has fewer nodes than it.
	relistInterval = time.Minute
)

// directoryLimit returns the limit of a call to the directory after a number of failed attempts.
func directoryLimit(failures int) time.Duration {
	if failures%patientInterval == patientInterval-1 {
		return patientTimeout
	}
	return directoryTimeout
}

// discover publishes this node in the directory and lists the directory: once, while it knows no other node, and now and then while
// it knows fewer than the directory has. A node publishes itself first, so that of two nodes that start together at least one finds
// the other.
func (h *Hosted) discover(ctx context.Context) {
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	var published, listed time.Time
	failing := false
	failures := 0
	for {
		var err error
		if h.republish.Swap(false) {
			published = time.Time{}
		}
		if time.Since(published) > seeds.RenewInterval {
			if err = h.publishNode(ctx, directoryLimit(failures)); err == nil {
				published = time.Now()
			}
		}
		isMissing := h.control.View().FleetFloor > 0 && time.Since(listed) > relistInterval
		if err == nil && (listed.IsZero() || h.control.KnowsNoPeer() || isMissing) {
			listed = time.Now()
			if err = h.findNodes(ctx, directoryLimit(failures)); err != nil {
				listed = time.Time{}
			}
		}
		failures++
		if err == nil {
			failures = 0
		} else {
			h.sourceReader.followRoles()
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			h.observer.dependency("directory", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Hosted) publishNode(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.platform.Directory().Publish(ctx, seeds.Record{
		Node:          h.settings.Node.Name,
		Address:       h.settings.Listen.PeerAddress(),
		FailureDomain: h.settings.Node.FailureDomain,
		LinkMbps:      uint32(h.settings.Node.LinkMbps),
		Incarnation:   h.started.UnixNano(),
		RenewedMS:     time.Now().UnixMilli(),
	})
}

func (h *Hosted) findNodes(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	records, err := h.platform.Directory().List(ctx)
	if err != nil {
		return err
	}
	current, expired := seeds.SplitExpired(records, h.settings.Node.Name, time.Now())
	// A record that has expired may be that of a node which could not renew it.
	h.control.StateFleetSize(len(current) + len(expired) + 1)
	h.syncer.SetSeeds(h.contacts(current))
	if readsAmong(h.selfEntry(), entriesOf(current), h.shape()) {
		h.sourceReader.followRoles()
	} else {
		time.AfterFunc(firstReadWait, h.sourceReader.followRoles)
	}
	log.WithFields(log.Fields{"event": "directory", "nodes": len(current), "expired": len(expired)}).Info("nodes found")
	for _, node := range expired {
		if err := h.platform.Directory().Remove(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

// contacts returns the addresses of the nodes in the directory in the order in which to contact them, followed by the seeds
// of the settings.
func (h *Hosted) contacts(records []seeds.Record) fanout.SeedAddresses {
	contacts := h.shape().SeedAddressesFor(h.settings.Node.FailureDomain, entriesOf(records))
	contacts.Addresses = append(contacts.Addresses, h.settings.Node.Seeds...)
	return contacts
}

func entriesOf(records []seeds.Record) []*endpoint.Entry {
	entries := make([]*endpoint.Entry, 0, len(records))
	for _, r := range records {
		entries = append(entries, &endpoint.Entry{
			Node: r.Node, Address: r.Address, FailureDomain: r.FailureDomain, LinkMbps: r.LinkMbps,
		})
	}
	return entries
}

// selfEntry returns the entry that other nodes derive from this node's directory record.
func (h *Hosted) selfEntry() *endpoint.Entry {
	return &endpoint.Entry{
		Node: h.settings.Node.Name, FailureDomain: h.settings.Node.FailureDomain, LinkMbps: uint32(h.settings.Node.LinkMbps),
	}
}
