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
// revisions and tries again. It ends the ownership if the pool has another owner.
func (t *poolOwnership) commitAsOwner(ctx context.Context, txn store.Txn, keys ...string) (int64, error) {
	for {
		guarded := txn
		guarded.Expected = append([]store.Expectation{{Key: poolstore.OwnerKey(t.service), Revision: t.token}}, txn.Expected...)
		t.own.expect(&guarded, keys)
		revision, err := t.Store.Commit(ctx, guarded)
		if err == nil {
			t.own.recordWrites(&guarded, keys, revision)
			return revision, nil
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return 0, err
		}
		if !t.stillOwner(conflict) {
			t.lose("the store has another owner")
			return 0, err
		}
		if !t.own.recordConflict(conflict, keys) {
			return 0, err
		}
	}
}

// stillOwner reports whether the pool still had this owner when the store refused a
// transaction.
func (t *poolOwnership) stillOwner(conflict *store.ConflictError) bool {
	owner, ok := conflict.Find(poolstore.OwnerKey(t.service))
	return ok && owner.Revision == t.token
}
