package readbudget

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"persimmonbay/internal/shard"
)

// relieveTo is the share of the bytes and of the connections to which they are brought down once
// they are used up, so that the accounts aren't compared for each byte.
const relieveTo = 0.875

// Budget bounds the bytes that all connections of a process hold before their requests are
// whole. It is safe for concurrent use: accounts lie in shards, each under its own lock.
type Budget struct {
	bytes    int64
	held     atomic.Int64
	ids      atomic.Int64
	accounts *shard.Map[string, *Account]
	relief   sync.Mutex // held by the one that gives up connections
}

// New returns a budget of so many bytes.
func New(bytes int64) *Budget {
	return &Budget{bytes: bytes, accounts: shard.NewMap[string, *Account]()}
}

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 { return b.held.Load() }

func (b *Budget) over() bool { return b.held.Load() > b.bytes }

// Relieve gives up connections until the bytes held are well below the budget, if they exceed it:
// those first that have held most for longest.
func (b *Budget) Relieve(now time.Time) {
	if !b.over() {
		return
	}
	b.relief.Lock()
	defer b.relief.Unlock()
	if !b.over() {
		return
	}
	target := int64(float64(b.bytes) * relieveTo)
	giveUp(b.accounts, now, Memory, func() bool { return b.held.Load() <= target })
}

func (b *Budget) nextID() string { return strconv.FormatInt(b.ids.Add(1), 36) }
