package config

import (
	"maps"
	"slices"
)

// RolloutOrders are the newest usable orders of rollouts by service, up to a position of the topic that holds them.
type RolloutOrders struct {
	byService map[string]Rollout
	// upTo is the position up to which the records are known, newest that of the last one that changed an order.
	upTo, newest Position
}

// NewestOrder is the newest record of the order of a service. Order is nil if it cannot be used.
type NewestOrder struct {
	Service string
	Order   *Rollout
}

// UpTo returns the position up to which the records are known.
func (o *RolloutOrders) UpTo() Position { return o.upTo }

// Newest returns the position of the last record that changed an order.
func (o *RolloutOrders) Newest() Position { return o.newest }

// Adopt replaces the orders by those of a configuration in force, if that was built from later records: a reader of another
// node has read those.
func (o *RolloutOrders) Adopt(state *State) {
	position := Position(state.Offset())
	if position <= o.upTo {
		return
	}
	o.upTo, o.newest, o.byService = position, 0, nil
	for _, list := range [][]Rollout{state.Content().Rollouts, state.Content().UnplacedRollouts} {
		for _, order := range list {
			o.Set(order)
		}
	}
}

// Set changes the order of a service.
func (o *RolloutOrders) Set(order Rollout) {
	if o.byService == nil {
		o.byService = make(map[string]Rollout)
	}
	o.byService[order.Service] = order
	o.newest = max(o.newest, Position(order.Position))
}

// Remove removes the order of a service.
func (o *RolloutOrders) Remove(service string, position Position) {
	if _, found := o.byService[service]; found {
		delete(o.byService, service)
		o.newest = max(o.newest, position)
	}
}

// ReadTo records that all records up to a position were applied.
func (o *RolloutOrders) ReadTo(position Position) { o.upTo = max(o.upTo, position) }

// ApplyNewest applies the newest records of all keys as of a position, which must not be below UpTo. An order that is not
// among them was removed if it was read in this era. One of an older era stays: the copy from which the store was restored may
// lack it, and the operator writes its records again.
func (o *RolloutOrders) ApplyNewest(found []NewestOrder, readTo Position) {
	present := make(map[string]bool)
	for _, f := range found {
		present[f.Service] = true
		if f.Order != nil && supersedes(*f.Order, o.byService[f.Service]) {
			o.Set(*f.Order)
		}
	}
	for _, service := range slices.Collect(maps.Keys(o.byService)) {
		if !present[service] && Position(o.byService[service].Position).Era() == readTo.Era() {
			// The position of the removal is not stated.
			o.Remove(service, readTo)
		}
	}
	o.ReadTo(readTo)
}

// supersedes reports whether the newest order of a service in the store replaces the one that is known. After a restore, a
// record of another order at a lower offset than the known one may be what the operator had replaced with it, so it counts only
// once it is written again. The same order takes the later position, so that all readers give it one position.
func supersedes(found, known Rollout) bool {
	at, was := Position(found.Position), Position(known.Position)
	if known.Service == "" || at.Era() == was.Era() {
		return at > was
	}
	same := found.TargetVersion == known.TargetVersion && found.Duration == known.Duration
	return at > was && (same || at.Offset() > was.Offset())
}

// Place puts the orders into a content.
func (o *RolloutOrders) Place(c *Content) {
	list := make([]Rollout, 0, len(o.byService))
	for _, service := range slices.Sorted(maps.Keys(o.byService)) {
		list = append(list, o.byService[service])
	}
	c.PlaceRollouts(list)
}

// Update returns the configuration in force with the orders that were read after it, and whether they differ from those that
// it has. It returns nil if none was read after it.
func (o *RolloutOrders) Update(state *State) (w *Whole, changed bool) {
	if state.Sequence() == 0 || uint64(o.newest) <= state.Offset() {
		return nil, false
	}
	w = &Whole{
		Offset: uint64(o.newest), PublishedAt: state.PublishedAt(), Sequence: state.Sequence(), Content: *state.Content(),
	}
	o.Place(&w.Content)
	changed = !slices.Equal(w.Content.Rollouts, state.Content().Rollouts) ||
		!slices.Equal(w.Content.UnplacedRollouts, state.Content().UnplacedRollouts)
	return w, changed
}
