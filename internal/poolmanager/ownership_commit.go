package poolmanager

import (
	"context"
	"errors"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
)

// commitOwn makes a change while the pool is ours and the keys given, which only
// the owner writes, are as it left them. Where an earlier change of them was
// carried out without an answer, it is made on top of that one.
func (t *poolOwnership) commitOwn(ctx context.Context, txn store.Txn, keys ...string) (int64, error) {
	for {
		guarded := txn
		guarded.Expected = append([]store.Expectation{{Key: poolstore.OwnerKey(t.service), Revision: t.token}}, txn.Expected...)
		t.own.expect(&guarded, keys)
		revision, err := t.Store.Commit(ctx, guarded)
		if err == nil {
			t.own.wrote(&guarded, keys, revision)
			return revision, nil
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return 0, err
		}
		if !t.named(conflict) {
			t.lose("the store names another owner")
			return 0, err
		}
		if !t.own.correct(conflict, keys) {
			return 0, err
		}
	}
}

// named reports whether the store, by a change that it refused, still names this
// ownership as the owner.
func (t *poolOwnership) named(conflict *store.ConflictError) bool {
	owner, ok := conflict.Find(poolstore.OwnerKey(t.service))
	return ok && owner.Revision == t.token
}
