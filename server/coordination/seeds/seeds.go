// Package seeds publishes and reads node addresses for discovery: in the log stream seeds or in a Directory.
package seeds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"wagtailford.example/server/protocol/platformlog"
)

// Limits of the records and reads of the stream.
const (
	// MaxPerRecord is the largest number of addresses in a record.
	MaxPerRecord = 64
	// MaxSeeds is the largest number of addresses that ReadSeeds returns.
	MaxSeeds = 512
	// readRecords is the number of newest records that ReadSeeds reads.
	readRecords = 256
	// maxRecordBytes is the largest size of an encoded record.
	maxRecordBytes = 64 << 10
	// readBytes limits the size of one read.
	readBytes = 256 << 10
	// beyondEnd is an offset above that of any record: a read from it returns only the range of the stream.
	beyondEnd = 1 << 62
)

// Log is the log service; *platformlog.Client implements it.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64, limitBytes int, wait time.Duration) (platformlog.Batch, error)
}

// Seed is the address of one node.
type Seed struct {
	Node string `msgpack:"n"`
	// Address is the peer address as HOST:PORT.
	Address       string `msgpack:"a"`
	FailureDomain string `msgpack:"f"`
	Incarnation   int64  `msgpack:"i"`
}

// StoredSeed is a seed with the time at which the log stored the newest record of it.
type StoredSeed struct {
	Seed
	StoredAt time.Time
}

// Result is the result of ReadSeeds.
type Result struct {
	// Seeds contains the newest seed of each node, newest first.
	Seeds []StoredSeed
	// Complete is true if every record that the log retains was read and no limit dropped a seed. Otherwise only
	// the records stored after CoveredSince are known to be included.
	Complete     bool
	CoveredSince time.Time
}

// Append appends one record with the seeds. It returns the errors of platformlog.Client.Append, and an error without
// sending anything if there are too many seeds for one record.
func Append(ctx context.Context, log Log, list []Seed) error {
	if len(list) > MaxPerRecord {
		return fmt.Errorf("%d seeds exceed the limit of at most %d per record", len(list), MaxPerRecord)
	}
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseCompactInts(true)
	if err := e.Encode(list); err != nil {
		return fmt.Errorf("encode seeds: %w", err)
	}
	if buf.Len() > maxRecordBytes {
		return fmt.Errorf("encoded seeds have %d bytes, at most %d are allowed", buf.Len(), maxRecordBytes)
	}
	_, err := log.Append(ctx, platformlog.StreamSeeds, buf.Bytes())
	return err
}

// ReadSeeds returns the seeds in the newest records that the log retains. It skips records that cannot be decoded. The
// error is that of platformlog.Client.Read.
func ReadSeeds(ctx context.Context, log Log) (Result, error) {
	end, err := log.Read(ctx, platformlog.StreamSeeds, beyondEnd, readBytes, 0)
	if err != nil {
		return Result{}, err
	}
	from := max(end.First, 1)
	complete := true
	if end.Next > from+readRecords {
		from = end.Next - readRecords
		complete = false
	}
	c := collector{index: map[string]int{}}
	for from < end.Next {
		batch, err := log.Read(ctx, platformlog.StreamSeeds, from, readBytes, 0)
		var trimmed *platformlog.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return Result{}, err
		}
		if len(batch.Records) == 0 {
			break
		}
		for _, r := range batch.Records {
			c.add(r)
		}
		from = batch.Records[len(batch.Records)-1].Offset + 1
	}
	return c.result(complete), nil
}
