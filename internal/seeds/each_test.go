package seeds_test

import (
	"sync/atomic"
	"testing"

	"persimmonbay/internal/seeds"
)

func TestEachRunsEverySeedOnce(t *testing.T) {
	for _, n := range []uint64{0, 1, 1000} {
		ran := make([]atomic.Int64, n)
		seeds.Each(n, func(seed uint64) { ran[seed].Add(1) })
		for seed := range ran {
			if got := ran[seed].Load(); got != 1 {
				t.Errorf("of %d seeds, %d ran %d times", n, seed, got)
			}
		}
	}
}
