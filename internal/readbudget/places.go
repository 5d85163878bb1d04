package readbudget

import (
	"sync"
	"sync/atomic"
	"time"

	"persimmonbay/internal/shard"
)

// Places bounds the open connections of one listener. It is safe for concurrent use.
type Places struct {
	budget   *Budget
	most     int64
	open     atomic.Int64
	accounts *shard.Map[string, *Account]
	freed    chan struct{}
	relief   sync.Mutex // held while a place is taken
}

// Places returns the places of a listener for at most so many connections, whose requests count
// in the budget.
func (b *Budget) Places(most int) *Places {
	return &Places{budget: b, most: int64(most), accounts: shard.NewMap[string, *Account](), freed: make(chan struct{}, 1)}
}

// Open returns the account of a new connection, which waits for a request. evict closes the
// connection; it is called at most once, when the connection is given up. If all places are
// used, that happens to some that wait or read. Open returns false if the requests of all are
// being served; then the caller is to wait for Freed.
func (p *Places) Open(now time.Time, evict func(Cause)) (*Account, bool) {
	p.relief.Lock()
	defer p.relief.Unlock()
	if p.open.Load() >= p.most {
		target := int64(float64(p.most) * relieveTo)
		giveUp(p.accounts, now, Connections, func() bool { return p.open.Load() <= target })
	}
	if p.open.Load() >= p.most {
		return nil, false
	}
	p.open.Add(1)
	a := &Account{id: p.budget.nextID(), budget: p.budget, places: p, evict: evict, since: now}
	p.budget.accounts.Set(a.id, a)
	p.accounts.Set(a.id, a)
	return a, true
}

// Freed receives a value after a place may have become free.
func (p *Places) Freed() <-chan struct{} { return p.freed }

// Connections returns how many are open.
func (p *Places) Connections() int64 { return p.open.Load() }

func (p *Places) remove(a *Account) {
	p.open.Add(-1)
	p.accounts.Delete(a.id)
	p.budget.accounts.Delete(a.id)
	p.signal()
}

func (p *Places) signal() {
	select {
	case p.freed <- struct{}{}:
	default: // one is waiting to be received
	}
}
