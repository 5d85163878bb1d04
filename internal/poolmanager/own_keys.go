package poolmanager

import (
	"sync"

	"persimmonbay/internal/store"
)

// ownKeys holds the revisions of keys that nobody else writes, as the store last
// told them; 0: not there. A write whose answer is lost may be carried out seconds
// later, so each one expects its key as it was last known: once one is confirmed,
// no earlier copy can follow. mu guards revisions.
type ownKeys struct {
	mu        sync.Mutex
	revisions map[string]int64
}

// expect adds the condition that the keys are as last known.
func (o *ownKeys) expect(txn *store.Txn, keys []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range keys {
		txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: o.revisions[key]})
	}
}

// learn takes in how the store keeps a key.
func (o *ownKeys) learn(key string, revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.revisions == nil {
		o.revisions = make(map[string]int64)
	}
	o.revisions[key] = revision
}

// wrote takes in a change that was made at the revision.
func (o *ownKeys) wrote(txn *store.Txn, keys []string, revision int64) {
	for _, w := range txn.Writes {
		for _, key := range keys {
			if w.Key == key {
				o.learn(key, revision)
			}
		}
	}
}

// correct takes in how the store keeps the keys; false when that was known.
func (o *ownKeys) correct(conflict *store.ConflictError, keys []string) bool {
	news := false
	for _, key := range keys {
		item, _ := conflict.Find(key) // revision 0 where there is none
		o.mu.Lock()
		news = news || o.revisions[key] != item.Revision
		o.mu.Unlock()
		o.learn(key, item.Revision)
	}
	return news
}
