package dispatch_test

import (
	"fmt"
	"testing"

	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/replica"
)

// BenchmarkEnqueueStartFinish measures the time from Enqueue to Finish for a
// request that starts at once.
func BenchmarkEnqueueStartFinish(b *testing.B) {
	for _, size := range []int{10, 100, 720} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			specs := make([]replica.Spec, size)
			for i := range specs {
				specs[i] = spec(fmt.Sprint("r", i), 8)
			}
			d := newDispatcher(specs...)
			b.ReportAllocs()
			for range b.N {
				ticket, _ := d.Enqueue(request(letters), 0, start)
				d.StartNext(start)
				d.Finish(ticket, dispatch.Result{CompletionTokens: 100}, start)
			}
		})
	}
}
