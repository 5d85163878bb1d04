package poolmanager

import (
	"context"
	"maps"
	"strconv"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// mayHaveRecalls reports whether the store may hold a recall: one that this machine
// controller wrote, or one of an earlier machine controller that is not overwritten yet.
func (c *machineController) mayHaveRecalls() bool {
	for pool := range c.fleet.Get().ownMachines {
		if recalled, known := c.recalls[pool]; !known || recalled > 0 {
			return true
		}
	}
	return false
}

// writeRecalls writes how many machines each pool has to give up, where that has
// changed.
func (c *machineController) writeRecalls(ctx context.Context, recalls map[string]int) error {
	var txn store.Txn
	var keys []string
	written := make(map[string]int)
	for pool := range c.fleet.Get().ownMachines {
		// What an earlier machine controller wrote is not known: it is
		// overwritten.
		if last, known := c.recalls[pool]; known && last == recalls[pool] || len(keys) == maxClaimsPerTxn {
			continue
		}
		delete(c.recalls, pool) // unknown until the store has responded
		written[pool] = recalls[pool]
		keys = append(keys, poolstore.RecallKey(pool))
		txn.Writes = append(txn.Writes, store.Write{Key: poolstore.RecallKey(pool), Value: []byte(strconv.Itoa(recalls[pool]))})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	if _, err := c.commitAsOwner(ctx, txn, keys...); err != nil {
		return err
	}
	maps.Copy(c.recalls, written)
	return nil
}
