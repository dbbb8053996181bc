package follow

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"wagtailford.example/server/coordination/malformed"
	"wagtailford.example/server/protocol/keyedstore"
	"wagtailford.example/server/state/config"
)

// PublicationFormat is how the operator writes configurations and orders of rollouts.
type PublicationFormat struct {
	// ConfigKey is the key of the whole configuration.
	ConfigKey string
	// OrderKeyPrefix begins the keys of orders of rollouts; the name of the service follows.
	OrderKeyPrefix string
	// DecodeConfig returns the configuration in a record.
	DecodeConfig func(value []byte) (*config.Whole, error)
	// ConfigNumber returns the number by which the publisher orders a configuration; 0 if it cannot be read.
	ConfigNumber func(value []byte) uint64
	// DecodeOrder returns the order in the record of a service.
	DecodeOrder func(service string, value []byte, position config.Position) (config.Rollout, error)
}

// TopicSource reads the operator's configuration and orders of rollouts from a topic of a store.
type TopicSource struct {
	topic keyedstore.Topic
	// eras is the highest era of the store that is known.
	eras   *keyedstore.Eras
	format PublicationFormat
	// inForce returns the state in force on this node, which may come from another node.
	inForce func() *config.State
	orders  config.RolloutOrders
	// badOrders is told of orders that cannot be used.
	badOrders *malformed.Orders
	// era is that in which next is valid.
	era uint64
	// next is the first offset that was not read yet. Records of other keys may lie between the last configuration and it.
	next uint64
	// positioned is false until next is known to lie behind all older records in this era.
	positioned bool
}

var _ Source = (*TopicSource)(nil)

// NewTopicSource returns a source. inForce returns the state in force, to which orders of rollouts are added that are newer
// than it.
func NewTopicSource(
	topic keyedstore.Topic, eras *keyedstore.Eras, format PublicationFormat, inForce func() *config.State, badOrders *malformed.Orders,
) *TopicSource {
	return &TopicSource{topic: topic, eras: eras, format: format, inForce: inForce, badOrders: badOrders}
}

// Next returns the newest configuration above after. The first one, one after records that the store no longer has, one
// beyond the page of a read, and one after a restore of the store, is read as the newest of its key.
func (s *TopicSource) Next(ctx context.Context, after uint64, wait time.Duration) (*config.Whole, error) {
	s.orders.Adopt(s.inForce())
	s.resume(config.Position(after))
	if !s.positioned {
		if w, err := s.newest(ctx, after); w != nil || err != nil {
			return w, err
		}
	}
	read, err := s.topic.ReadAfter(ctx, s.next, wait)
	if s.enterEra(s.eras.Highest()) {
		// The store was restored, so the offset of the read and the answer to it mean nothing.
		return s.newest(ctx, after)
	}
	var refused *keyedstore.RangeError
	if errors.As(err, &refused) {
		return s.afterRemoval(ctx, after, refused)
	}
	if err != nil {
		return nil, err
	}
	if read.Next == read.End {
		return s.take(read, after)
	}
	// A configuration is complete in itself, so those on the pages before the newest one are of no use.
	w, err := s.newest(ctx, after)
	switch {
	case w != nil:
		return w, nil
	case read.Next == s.next:
		// Passing the record over would lose the configuration in it.
		return nil, errors.Join(keyedstore.ErrNoWholeRecord, err)
	}
	return s.take(read, after)
}

// resume sets where to read on. Another node may have read further, also in a later era of the store.
func (s *TopicSource) resume(after config.Position) {
	s.eras.Learn(after.Era())
	s.enterEra(s.eras.Highest())
	if after != 0 && after.Era() == s.era {
		s.next = max(s.next, after.Offset())
		s.positioned = true
	}
}

// enterEra forgets the read position if the era of the store has risen, and reports whether it did.
func (s *TopicSource) enterEra(era uint64) bool {
	if era <= s.era {
		return false
	}
	s.era, s.next, s.positioned = era, 0, false
	return true
}

// newest returns the newest configuration above after by the newest records of all keys; nil if there is none.
func (s *TopicSource) newest(ctx context.Context, after uint64) (*config.Whole, error) {
	read, err := s.topic.Newest(ctx)
	if err != nil {
		return nil, err
	}
	s.applyNewestOrders(read)
	s.enterEra(read.Era)
	w, err := s.pick(read, after)
	if w == nil && err == nil && !s.positioned && after != 0 {
		s.next, s.positioned = read.Next, true
	}
	return w, err
}

// afterRemoval returns the newest configuration after the store has refused a read. If it has removed the record at the next
// offset it states the first one that it holds. It has not if the read was above its end: this answer, or one before, is
// stale. So are newest records that end before the next offset.
func (s *TopicSource) afterRemoval(ctx context.Context, after uint64, refused *keyedstore.RangeError) (*config.Whole, error) {
	if refused.First != nil && *refused.First <= s.next {
		return nil, &StaleError{After: after}
	}
	read, err := s.topic.Newest(ctx)
	if err != nil {
		return nil, err
	}
	if s.enterEra(read.Era); read.End <= s.next {
		return nil, &StaleError{After: after}
	}
	s.applyNewestOrders(read)
	return s.take(read, after)
}

// take returns the newest configuration of a read, and moves past the records if there is none.
func (s *TopicSource) take(read keyedstore.Page, after uint64) (*config.Whole, error) {
	s.applyOrders(read)
	w, err := s.pick(read, after)
	if w == nil && err == nil {
		s.next = max(s.next, read.Next)
	}
	return w, err
}

// pick returns the newest configuration above after that can be read, with the orders that are known, or the one in force if
// only an order is new; nil if there is none. The error is set only if there are configurations and none can be read.
func (s *TopicSource) pick(read keyedstore.Page, after uint64) (*config.Whole, error) {
	state := s.inForce()
	w, unreadable := s.decodeNewest(read, after)
	if w == nil || w.Sequence < state.Sequence() {
		// The number of a lower configuration makes every node skip it, so an order need not wait for it.
		if update := s.updateInForce(state); update != nil {
			update.TimeMS = time.Now().UnixMilli()
			update.Read = readInfo(read)
			return update, nil
		}
	}
	if w == nil {
		return nil, unreadable
	}
	if w.Sequence >= state.Sequence() {
		if newest := uint64(s.orders.Newest()); newest > w.Offset {
			w.Offset, w.PublishedAt = newest, w.Offset
		}
		s.orders.Place(&w.Content)
		s.reportUnplaced(&w.Content)
	}
	return w, nil
}

// applyOrders applies the orders of a page that follows what is known.
func (s *TopicSource) applyOrders(read keyedstore.Page) {
	for _, r := range read.Records {
		position := read.Position(r.Offset)
		service, isOrder := strings.CutPrefix(r.Key, s.format.OrderKeyPrefix)
		if !isOrder || position <= s.orders.UpTo() {
			continue
		}
		if len(r.Value) == 0 {
			s.orders.Remove(service, position)
		} else if order := s.decodeOrder(service, r, position); order != nil {
			s.orders.Set(*order)
		}
	}
	s.orders.ReadTo(read.ReadTo())
}

// applyNewestOrders applies the orders among the newest records of all keys. An answer that ends before what is known is stale.
func (s *TopicSource) applyNewestOrders(read keyedstore.Page) {
	if read.ReadTo() < s.orders.UpTo() {
		return
	}
	var found []config.NewestOrder
	for _, r := range read.Present() {
		if service, isOrder := strings.CutPrefix(r.Key, s.format.OrderKeyPrefix); isOrder {
			found = append(found, config.NewestOrder{Service: service, Order: s.decodeOrder(service, r, read.Position(r.Offset))})
		}
	}
	s.orders.ApplyNewest(found, read.ReadTo())
}

// decodeOrder returns the order in a record; a bad one is reported, and nil is returned.
func (s *TopicSource) decodeOrder(service string, r keyedstore.Record, position config.Position) *config.Rollout {
	order, err := s.format.DecodeOrder(service, r.Value, position)
	if err != nil {
		s.badOrders.Report(r.Key, position, err)
		return nil
	}
	return &order
}

// updateInForce returns the configuration in force with the orders that were read after it; nil if that changes nothing.
func (s *TopicSource) updateInForce(state *config.State) *config.Whole {
	w, changed := s.orders.Update(state)
	if w != nil {
		s.reportUnplaced(&w.Content)
	}
	if !changed {
		return nil
	}
	return w
}

// errUnknownService means that an order names a service that the configuration does not have.
var errUnknownService = errors.New("service is not in the configuration")

// reportUnplaced reports the orders for services that a content does not have.
func (s *TopicSource) reportUnplaced(content *config.Content) {
	for _, order := range content.UnplacedRollouts {
		s.badOrders.Report(s.format.OrderKeyPrefix+order.Service, config.Position(order.Position), errUnknownService)
	}
}

func readInfo(read keyedstore.Page) config.ReadInfo {
	return config.ReadInfo{Records: len(read.Records), Bytes: read.Bytes, Newest: uint64(config.NewPosition(read.Era, read.End))}
}

// decodeNewest decodes the newest configuration above after that can be read; nil if there is none.
func (s *TopicSource) decodeNewest(read keyedstore.Page, after uint64) (w *config.Whole, unreadable error) {
	for _, r := range s.newestFirst(read, after) {
		version := uint64(read.Position(r.Offset))
		began := time.Now()
		w, err := s.format.DecodeConfig(r.Value)
		if err == nil {
			w.Offset = version
			w.TimeMS = time.Now().UnixMilli()
			w.Read = readInfo(read)
			w.Read.Decoding = time.Since(began)
			return w, nil
		}
		if unreadable == nil {
			unreadable = &UnreadableError{Offset: version, Cause: err}
		}
	}
	return nil, unreadable
}

// newestFirst returns the records of configurations above after, the one with the highest number first: the store may do an
// append of an older version late, so the last record is not always the newest version.
func (s *TopicSource) newestFirst(read keyedstore.Page, after uint64) []keyedstore.Record {
	var found []keyedstore.Record
	for _, r := range slices.Backward(read.Records) {
		if r.Key == s.format.ConfigKey && len(r.Value) > 0 && uint64(read.Position(r.Offset)) > after {
			found = append(found, r)
		}
	}
	if len(found) < 2 {
		return found
	}
	numbers := make(map[uint64]uint64, len(found))
	for _, r := range found {
		numbers[r.Offset] = s.format.ConfigNumber(r.Value)
	}
	slices.SortStableFunc(found, func(a, b keyedstore.Record) int { return cmp.Compare(numbers[b.Offset], numbers[a.Offset]) })
	return found
}
