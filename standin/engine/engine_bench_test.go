package engine_test

import (
	"context"
	"testing"

	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
)

// BenchmarkStream measures a streamed answer of 32 tokens. The step time of 1 ns
// leaves only the overhead of the engine itself.
func BenchmarkStream(b *testing.B) {
	c := qt.New(b)
	e := start(c, engine.Options{Slots: 256, StepTime: 1})
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req := request("hello there [tokens=32]")
			req.Stream = true
			a, err := chat(context.Background(), e, "", req)
			if err != nil || !a.Done {
				b.Error("incomplete answer:", err)
			}
		}
	})
}
