package route_test

import (
	"fmt"
	"testing"

	"magnoliaspoke.example/spoke/route"
)

// BenchmarkChoose measures one choice for different numbers of upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 86} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			router, views, q := route.NewAffinity(), makeViews(n), query(1, 2, 3, 4, 5)
			for b.Loop() {
				router.Choose(now, q, views)
			}
		})
	}
}
