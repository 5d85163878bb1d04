package platform

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/shard"
)

// injector applies the faults to calls. mu guards random and seed. The choices of
// random depend on the seed and the order of writes only.
type injector struct {
	faults *shard.Cell[Faults]
	clock  clockwork.Clock
	mu     sync.Mutex
	random *rand.Rand
	seed   uint64
}

func newInjector(faults *shard.Cell[Faults], clock clockwork.Clock) *injector {
	return &injector{faults: faults, clock: clock, random: rand.New(rand.NewPCG(0, 0))}
}

func (i *injector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := i.faults.Get()
		if f.SlowMillis > 0 {
			<-i.clock.After(time.Duration(f.SlowMillis) * time.Millisecond)
		}
		switch {
		case f.Silent:
			<-r.Context().Done()
		case f.Outage:
			http.Error(w, `{"error":"outage"}`, http.StatusServiceUnavailable)
		case r.Method != http.MethodGet && i.losesResponse(f):
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler) // closes the connection without a response
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// losesResponse decides at random whether the response to a write is lost.
func (i *injector) losesResponse(f Faults) bool {
	if f.LoseResponses <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.Seed != i.seed {
		i.seed, i.random = f.Seed, rand.New(rand.NewPCG(f.Seed, 0))
	}
	return i.random.Float64() < f.LoseResponses
}
