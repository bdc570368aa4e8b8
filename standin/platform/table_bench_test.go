package platform_test

import (
	"context"
	"fmt"
	"testing"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/standin/platform"
)

// benchRows is the number of rows in the table of the benchmark.
const benchRows = 100_000

// BenchmarkListWhileInserting measures an insertion into a large table followed by
// a list from its middle.
func BenchmarkListWhileInserting(b *testing.B) {
	s := platform.New(platform.Options{LogLimit: 1000})
	defer s.Close()
	client := s.Client("")
	ctx := context.Background()
	all := &table.CommitPayload{}
	for i := range benchRows {
		all.Writes = append(all.Writes, &table.Write{Key: fmt.Sprintf("k/%06d", i), Value: []byte("value")})
	}
	if _, err := client.Table.Commit(ctx, all); err != nil {
		b.Fatal(err)
	}
	for n := 0; b.Loop(); n++ {
		key := fmt.Sprintf("k/%06d/%d", n*7919%benchRows, n)
		if _, err := client.Table.Commit(ctx, putCommit(key, "value", 0)); err != nil {
			b.Fatal(err)
		}
		list := &table.ListPayload{Prefix: "k/", After: "k/050000", Limit: 100}
		if _, err := client.Table.List(ctx, list); err != nil {
			b.Fatal(err)
		}
	}
}
