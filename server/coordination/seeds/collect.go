package seeds

import (
	"bytes"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"wagtailford.example/server/state/config"
)

// collector merges the seeds of records, which it receives in log order.
type collector struct {
	seeds  []StoredSeed
	index  map[string]int
	oldest time.Time
}

// add merges the seeds of a record.
func (c *collector) add(r config.Record) {
	stored := time.UnixMilli(r.TimeMS)
	if c.oldest.IsZero() {
		c.oldest = stored
	}
	for _, s := range decode(r.Data) {
		c.addSeed(StoredSeed{Seed: s, StoredAt: stored})
	}
}

// addSeed keeps the newest seed of a node. A seed with a lower incarnation is an old address, published by a node with
// an outdated view; it only updates the time.
func (c *collector) addSeed(s StoredSeed) {
	i, known := c.index[s.Node]
	if !known {
		c.index[s.Node] = len(c.seeds)
		c.seeds = append(c.seeds, s)
		return
	}
	if s.Incarnation < c.seeds[i].Incarnation {
		s.Seed = c.seeds[i].Seed
	}
	c.seeds[i] = s
}

// result returns the newest seeds.
func (c *collector) result(complete bool) Result {
	slices.SortStableFunc(c.seeds, func(a, b StoredSeed) int { return b.StoredAt.Compare(a.StoredAt) })
	out := Result{Seeds: c.seeds, Complete: complete, CoveredSince: c.oldest}
	if len(c.seeds) > MaxSeeds {
		out.Seeds = c.seeds[:MaxSeeds]
		out.Complete = false
		out.CoveredSince = c.seeds[MaxSeeds].StoredAt
	}
	return out
}

// decode returns the seeds of a record; none if the record is malformed or too large.
func decode(data []byte) []Seed {
	if len(data) > maxRecordBytes {
		return nil
	}
	d := msgpack.NewDecoder(bytes.NewReader(data))
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 || n > MaxPerRecord {
		return nil
	}
	out := make([]Seed, 0, n)
	for range n {
		s := Seed{}
		if err := d.Decode(&s); err != nil {
			return nil
		}
		if s.Node != "" && s.Address != "" {
			out = append(out, s)
		}
	}
	return out
}
