package poolmanager

import (
	"sync"

	"go.uber.org/zap"

	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// invalidItems remembers which undecodable items of the store were logged, so that
// each revision is logged once. mu guards revisions.
type invalidItems struct {
	mu        sync.Mutex
	revisions map[string]int64 // the last one logged, by key
}

// maxInvalidItems bounds the keys that are remembered. At the bound all are
// forgotten, and lines may repeat.
const maxInvalidItems = 4096

func newInvalidItems() *invalidItems { return &invalidItems{revisions: make(map[string]int64)} }

// logOnce logs that an item of the store could not be decoded, unless this revision
// was logged before.
func (i *invalidItems) logOnce(log *zap.Logger, message string, item *store.Item, err error) {
	if i.isNew(item) {
		log.Warn(message, append(telemetry.ProblemFields(err), zap.String("key", item.Key))...)
	}
}

func (i *invalidItems) isNew(item *store.Item) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if logged, known := i.revisions[item.Key]; known && logged >= item.Revision {
		return false
	}
	if len(i.revisions) >= maxInvalidItems {
		clear(i.revisions)
	}
	i.revisions[item.Key] = item.Revision
	return true
}
