package seeds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"wagtailford.example/server/coordination/malformed"
	"wagtailford.example/server/protocol/keyedstore"
)

// TopicDirectory keeps the records in a topic of a store, by node.
type TopicDirectory struct {
	topic    keyedstore.Topic
	rejected *malformed.Entries
}

var _ Directory = (*TopicDirectory)(nil)

// NewTopicDirectory returns the directory in a topic.
func NewTopicDirectory(topic keyedstore.Topic, rejected *malformed.Entries) *TopicDirectory {
	return &TopicDirectory{topic: topic, rejected: rejected}
}

// Publish replaces the record of a node.
func (d *TopicDirectory) Publish(ctx context.Context, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode record of node %s: %w", r.Node, err)
	}
	return d.topic.Put(ctx, r.Node, value)
}

// Remove drops the record of a node.
func (d *TopicDirectory) Remove(ctx context.Context, node string) error {
	return d.topic.Put(ctx, node, nil)
}

// List returns the records of all nodes. One that cannot be read is logged and passed over: it was written by another
// program.
func (d *TopicDirectory) List(ctx context.Context) ([]Record, error) {
	read, err := d.topic.Newest(ctx)
	if err != nil {
		return nil, err
	}
	return malformed.DecodeRecords(d.rejected, "directory_record_rejected", "node", read.Present(), decodeRecord), nil
}

// decodeRecord returns the record of a node under its key.
func decodeRecord(key string, value []byte) (Record, error) {
	var r Record
	if err := malformed.Decode(value, &r); err != nil {
		return Record{}, err
	}
	if r.Node != key {
		return Record{}, malformed.ErrOtherKey
	}
	return r, errors.Join(malformed.CheckNames(r.Node, r.FailureDomain), malformed.CheckAddress(r.Address))
}
