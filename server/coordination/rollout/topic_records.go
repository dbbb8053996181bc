package rollout

import (
	"context"
	"encoding/json"
	"fmt"

	"wagtailford.example/server/coordination/malformed"
	"wagtailford.example/server/protocol/keyedstore"
)

// TopicRecords keeps the records in a topic of a store, by service. Records are appended only at the end that the writer has
// read, so that of two deciders one notices the other.
type TopicRecords struct {
	topic    keyedstore.Topic
	rejected *malformed.Entries
}

// NewTopicRecords returns the records in a topic.
func NewTopicRecords(topic keyedstore.Topic, rejected *malformed.Entries) TopicRecords {
	return TopicRecords{topic: topic, rejected: rejected}
}

// List returns the records, and the end of the topic. The end is that before the first page, so that a record that was added
// while the pages were read makes Replace fail.
func (t TopicRecords) List(ctx context.Context) ([]Record, uint64, error) {
	read, err := t.topic.Newest(ctx)
	if err != nil {
		return nil, 0, err
	}
	return malformed.DecodeRecords(t.rejected, "rollout_record_rejected", "service", read.Records, decodeRecord), read.Next, nil
}

func decodeRecord(key string, value []byte) (Record, error) {
	var r Record
	if err := malformed.Decode(value, &r); err != nil {
		return Record{}, err
	}
	if r.Service != key {
		return Record{}, malformed.ErrOtherKey
	}
	return r, malformed.CheckNames(r.Service, r.Target)
}

// Replace writes a record if none was written since end.
func (t TopicRecords) Replace(ctx context.Context, r Record, end uint64) (uint64, bool, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, false, fmt.Errorf("encode rollout record of service %s: %w", r.Service, err)
	}
	return t.topic.PutAt(ctx, r.Service, value, end)
}
