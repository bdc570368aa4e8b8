package queue_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/queue"
)

func BenchmarkPushTake(b *testing.B) {
	for _, size := range []int{10, 1000, 100_000} {
		for _, accounts := range []int{10, 1000, 47_000} {
			b.Run(fmt.Sprintf("waiting=%d/accounts=%d", size, accounts), func(b *testing.B) {
				q := queue.New[int]()
				names := make([]string, accounts)
				for i := range names {
					names[i] = fmt.Sprint("account-", i)
				}
				for i := range size {
					push(q, i, 1+i%6, names[i%accounts])
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					e := take(q, 100)
					e.Arrived = start.Add(time.Duration(size+i) * time.Millisecond)
					q.Charge(e.Tier, e.Account, 100)
					q.Push(e)
				}
			})
		}
	}
}
