package command

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	pb "wagtailford.example/api/wagtailford/v1"
)

// manyRoutes returns routes of about 130 bytes each.
func manyRoutes(n int) *pb.Content {
	content := &pb.Content{Services: []*pb.Service{{Name: "orders"}, {Name: "catalog"}}}
	for i := range n {
		content.Routes = append(content.Routes, &pb.Route{
			Name: fmt.Sprintf("shop-example-orders-%06d", i), Caller: "*", PathPrefix: fmt.Sprintf("/orders/region/%06d/", i),
			TimeoutMs: 1500, MaxAttempts: 3,
			Destinations: []*pb.Destination{{Service: "orders", Weight: 90_000}, {Service: "catalog", Weight: 10_000}},
		})
	}
	return content
}

// Guards against a configuration that nodes have in force and that wagtailctl cannot show.
func TestShowOfManyRoutes(t *testing.T) {
	for _, routes := range []int{5_333, 20_000, 60_000} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			d := &fakeDaemon{contents: map[uint64]*pb.Content{0: manyRoutes(routes)}}
			shown := ctl(t, d, "versions", "show")
			assert.Equal(t, shown.code, 0, "%.300s", shown.errors)
			assert.Assert(t, len(shown.out) > 100*routes)
		})
	}
}
