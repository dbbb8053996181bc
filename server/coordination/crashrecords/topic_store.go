package crashrecords

import (
	"context"
	"encoding/json"
	"fmt"

	"wagtailford.example/server/coordination/malformed"
	"wagtailford.example/server/protocol/keyedstore"
	"wagtailford.example/server/state/endpoint"
)

// MaxCounts is the largest number of counts that a record may hold.
const MaxCounts = 256

// TopicStore keeps the crash counts of the nodes in a topic of a store, by node.
type TopicStore struct {
	topic    keyedstore.Topic
	rejected *malformed.Entries
}

var _ Store = (*TopicStore)(nil)

// NewTopicStore returns the store in a topic.
func NewTopicStore(topic keyedstore.Topic, rejected *malformed.Entries) *TopicStore {
	return &TopicStore{topic: topic, rejected: rejected}
}

// Publish replaces the record of a node; a record without counts removes it.
func (s *TopicStore) Publish(ctx context.Context, r Record) error {
	if len(r.Crashes) == 0 {
		return s.topic.Put(ctx, r.Node, nil)
	}
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode crash counts of node %s: %w", r.Node, err)
	}
	return s.topic.Put(ctx, r.Node, value)
}

// List returns the records of all nodes. One that cannot be read is logged and passed over.
func (s *TopicStore) List(ctx context.Context) ([]Record, error) {
	read, err := s.topic.Newest(ctx)
	if err != nil {
		return nil, err
	}
	return malformed.DecodeRecords(s.rejected, "crash_record_rejected", "node", read.Present(), decodeRecord), nil
}

// decodeRecord returns the record of a node under its key.
func decodeRecord(key string, value []byte) (Record, error) {
	var body struct {
		Node    *string                `json:"node"`
		Crashes *[]endpoint.CrashCount `json:"crashes"`
	}
	if err := malformed.Decode(value, &body); err != nil {
		return Record{}, err
	}
	r := Record{Node: *body.Node, Crashes: *body.Crashes}
	if r.Node != key {
		return Record{}, malformed.ErrOtherKey
	}
	if len(r.Crashes) > MaxCounts {
		return Record{}, malformed.ErrOutOfRange
	}
	return r, malformed.CheckNames(r.Node)
}
