package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailford.example/server/state/endpoint"
	"wagtailford.example/server/state/view"
)

// Guards against a member whose death verdict came and was answered between two views: its keys may have run elsewhere
// meanwhile, so they must not be placed on the next in rank as if they had been handed over.
func TestAnsweredVerdictIsLoss(t *testing.T) {
	const service = "orders"
	start := time.UnixMilli(1_000_000)
	entry := endpoint.Entry{
		Node: "b", Service: service, Eligible: true,
		Key: endpoint.Key{Incarnation: 7, Revision: 3, State: endpoint.Alive},
	}
	k := newKnowledge("a", Rules{KeyRetention: time.Minute})
	observe := func(e endpoint.Entry) {
		k.observe(&view.View{Nodes: map[string]*endpoint.Entry{"b": &e}}, service, start)
	}
	observe(entry)
	withdrawn := entry
	withdrawn.Revision++
	withdrawn.Eligible = false
	observe(withdrawn)
	assert.Equal(t, len(k.lost), 0, "a planned leave is no loss")
	rejoined := entry
	rejoined.Revision = 9
	rejoined.Rejoined = 9
	observe(rejoined)
	assert.Equal(t, len(k.lost), 1)
}
