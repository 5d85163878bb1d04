package poolmanager

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/quota"
	"persimmonbay/internal/store"
)

// readAccounts reads the accounts of all teams. A team whose account cannot be decoded
// keeps what is known of it.
func (q *quotaWriter) readAccounts(ctx context.Context) error {
	read := rangeRead{prefix: poolstore.QuotaPrefix}
	if err := read.finish(ctx, q.Store); err != nil {
		return err
	}
	items := make(map[string]store.Item, len(read.items))
	for _, item := range read.items {
		items[item.Key] = item
	}
	inherited, teams := quota.Amount{}, 0
	for _, team := range q.keeper.Teams() {
		if granted := q.observe(team, items[poolstore.QuotaKey(team)]); granted != (quota.Amount{}) {
			inherited, teams = inherited.Plus(granted), teams+1
		}
	}
	if teams > 0 {
		q.log.Info("grants inherited from an earlier owner of the pool", zap.Int("teams", teams), zap.Any("granted", inherited))
	}
	return nil
}

// observe applies a team's account as stored; an item without a revision: there is none. It
// returns the grant that the pool inherits for the team, if this is the first reading.
func (q *quotaWriter) observe(team string, item store.Item) (inherited quota.Amount) {
	var account quota.Account
	if item.Revision > 0 {
		var err error
		if account, err = poolstore.DecodeQuota(item.Key, item.Value); err != nil || item.Unreadable {
			q.invalid.logOnce(q.log, "account of a team not understood, the pool's grant for it is not changed", &item, err)
			return quota.Amount{}
		}
	}
	q.keeper.Observe(team, account, item.Revision)
	if q.inherited[team] {
		return quota.Amount{}
	}
	q.inherited[team] = true
	inherited = q.keeper.Granted(team)
	if inherited != (quota.Amount{}) {
		q.pool.SetInheritedGrant(team, inherited)
	}
	return inherited
}

// maxAccountsPerTxn is how many accounts one transaction changes: each takes a condition
// and a write, beside the condition on the ownership.
const maxAccountsPerTxn = 10

// write writes the proposed accounts, on condition that this entry owns the pool and that
// they are as they were read. What was changed meanwhile is taken over.
func (q *quotaWriter) write(ctx context.Context, proposals []quota.Proposal) error {
	var failure error
	for len(proposals) > 0 {
		batch := proposals[:min(len(proposals), maxAccountsPerTxn)]
		proposals = proposals[len(batch):]
		var conflict *store.ConflictError
		switch err := q.writeBatch(ctx, batch); {
		case err == nil:
		case errors.As(err, &conflict):
			for _, p := range batch {
				if item, ok := conflict.Find(poolstore.QuotaKey(p.Team)); ok {
					q.observe(p.Team, item)
				}
			}
			failure = err
		default:
			return err
		}
	}
	return failure
}

func (q *quotaWriter) writeBatch(ctx context.Context, batch []quota.Proposal) error {
	var txn store.Txn
	for _, p := range batch {
		value, err := poolstore.EncodeQuota(&p.Account)
		if err != nil {
			return err
		}
		key := poolstore.QuotaKey(p.Team)
		txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: p.Revision})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
	}
	revision, err := q.commitAsOwner(ctx, txn)
	if err != nil {
		return err
	}
	for _, p := range batch {
		q.keeper.Observe(p.Team, p.Account, revision)
	}
	q.log.Debug("grants written", zap.Int("teams", len(batch)), zap.Int64("revision", revision))
	return nil
}
