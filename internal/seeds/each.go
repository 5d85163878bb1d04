// Package seeds runs randomised tests over many seeds in parallel.
package seeds

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Each calls run once for each seed below n and returns when all calls have
// returned. It makes as many calls at once as GOMAXPROCS allows, so run must be
// safe for concurrent use.
func Each(n uint64, run func(seed uint64)) {
	var next atomic.Uint64
	var running sync.WaitGroup
	for range min(uint64(runtime.GOMAXPROCS(0)), n) {
		running.Go(func() {
			for seed := next.Add(1) - 1; seed < n; seed = next.Add(1) - 1 {
				run(seed)
			}
		})
	}
	running.Wait()
}
