// Package seeds runs drawn tests over many seeds.
package seeds

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Each calls run once for each seed below n, as many at once as there are
// processors, and returns when all calls have. Calls share nothing unless run
// makes them.
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
