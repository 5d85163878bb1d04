package readbudget

import (
	"sort"
	"time"

	"persimmonbay/internal/shard"
)

// giveUp gives up accounts, heaviest first, until enough returns true or none is left.
func giveUp(accounts *shard.Map[string, *Account], now time.Time, cause Cause, enough func() bool) {
	type candidate struct {
		account *Account
		weight  float64
	}
	var candidates []candidate
	accounts.Range(func(_ string, a *Account) bool {
		if weight, ok := a.weight(now, cause); ok {
			candidates = append(candidates, candidate{a, weight})
		}
		return true
	})
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].weight > candidates[j].weight })
	for _, c := range candidates {
		if enough() {
			return
		}
		c.account.giveUp(cause)
	}
}
