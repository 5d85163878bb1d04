package poolmanager

import (
	"sync"

	"persimmonbay/internal/store"
)

// ownKeys holds the last known revisions of keys that only this entry may write now; 0:
// the key does not exist. A write whose response is lost may be applied seconds later, so
// each write is conditional on its key's last known revision: once one is confirmed,
// no earlier copy can be applied. mu guards revisions.
type ownKeys struct {
	mu        sync.Mutex
	revisions map[string]int64
}

// expect adds the conditions that the keys have their last known revisions.
func (o *ownKeys) expect(txn *store.Txn, keys []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range keys {
		txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: o.revisions[key]})
	}
}

// record records a key's revision in the store.
func (o *ownKeys) record(key string, revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.revisions == nil {
		o.revisions = make(map[string]int64)
	}
	o.revisions[key] = revision
}

// recordWrites records the revision of a committed transaction for those of the keys
// that it wrote.
func (o *ownKeys) recordWrites(txn *store.Txn, keys []string, revision int64) {
	for _, w := range txn.Writes {
		for _, key := range keys {
			if w.Key == key {
				o.record(key, revision)
			}
		}
	}
}

// recordConflict records the keys' revisions from a refused transaction, and reports
// whether one differs from the last known.
func (o *ownKeys) recordConflict(conflict *store.ConflictError, keys []string) bool {
	changed := false
	for _, key := range keys {
		item, _ := conflict.Find(key) // revision 0 if the key does not exist
		o.mu.Lock()
		changed = changed || o.revisions[key] != item.Revision
		o.mu.Unlock()
		o.record(key, item.Revision)
	}
	return changed
}
