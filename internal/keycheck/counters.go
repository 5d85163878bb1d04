package keycheck

import (
	"sync/atomic"

	"persimmonbay/internal/identity"
)

// counters counts calls by outcome. It is safe for concurrent use.
type counters struct {
	calls [identity.Outcomes]atomic.Int64
}

func (c *counters) count(outcome identity.Outcome) { c.calls[outcome].Add(1) }

func (c *counters) byName() map[string]int64 {
	all := make(map[string]int64, len(c.calls))
	for i := range c.calls {
		all[identity.Outcome(i).String()] = c.calls[i].Load()
	}
	return all
}
