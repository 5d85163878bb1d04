package shard

import (
	"strconv"
	"testing"
)

// BenchmarkUpdate compares one shard with DefaultShards when all cores update.
func BenchmarkUpdate(b *testing.B) {
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = strconv.Itoa(i)
	}
	for _, shards := range []int{1, DefaultShards} {
		b.Run("shards="+strconv.Itoa(shards), func(b *testing.B) {
			m := NewMapOf[string, int](shards)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					m.Update(keys[i%len(keys)], func(n int, _ bool) (int, bool) { return n + 1, true })
				}
			})
		})
	}
}
