package poolmanager

import (
	"context"
	"errors"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// commitAsOwner commits txn on condition that this entry owns the pool and that keys,
// which only the owner writes, have their last known revisions. If an earlier write of
// them was applied although its response was lost, commitAsOwner records the new
// revisions and tries again. It ends the ownership if the pool has another owner. A try
// takes StoreTimeout at most, so that one lost response does not use up the time of
// the caller's other writes.
func (o *poolOwnership) commitAsOwner(ctx context.Context, txn store.Txn, keys ...string) (int64, error) {
	for {
		guarded := txn
		guarded.Expected = append([]store.Expectation{{Key: poolstore.OwnerKey(o.service), Revision: o.token}}, txn.Expected...)
		o.own.expect(&guarded, keys)
		revision, err := o.commitOnce(ctx, guarded)
		if err == nil {
			o.own.recordWrites(&guarded, keys, revision)
			return revision, nil
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return 0, err
		}
		if !o.stillOwner(conflict) {
			o.lose("the store names another owner")
			return 0, err
		}
		if !o.own.recordConflict(conflict, keys) {
			return 0, err
		}
	}
}

func (o *poolOwnership) commitOnce(ctx context.Context, txn store.Txn) (int64, error) {
	limited, cancel := context.WithTimeout(ctx, o.timing.StoreTimeout)
	defer cancel()
	return o.Store.Commit(limited, txn)
}

// stillOwner reports whether the pool still had this owner when the store refused a
// transaction.
func (o *poolOwnership) stillOwner(conflict *store.ConflictError) bool {
	owner, ok := conflict.Find(poolstore.OwnerKey(o.service))
	return ok && owner.Revision == o.token
}
