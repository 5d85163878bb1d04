package poolmanager

import (
	"sync"

	"go.uber.org/zap"

	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// invalidEntries remembers which entries of the store that are not understood were
// told, so that each version is told once. mu guards revisions.
type invalidEntries struct {
	mu        sync.Mutex
	revisions map[string]int64 // the last one told, by key
}

// maxInvalidEntries bounds the keys that are remembered. Beyond it, lines repeat.
const maxInvalidEntries = 4096

func newInvalidEntries() *invalidEntries { return &invalidEntries{revisions: make(map[string]int64)} }

// logOnce writes one line about a version of an entry, unless it was told before.
func (o *invalidEntries) logOnce(log *zap.Logger, message string, item *store.Item, err error) {
	if o.news(item) {
		log.Warn(message, append(telemetry.ProblemFields(err), zap.String("key", item.Key))...)
	}
}

func (o *invalidEntries) news(item *store.Item) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if told, known := o.revisions[item.Key]; known && told >= item.Revision {
		return false
	}
	if len(o.revisions) >= maxInvalidEntries {
		clear(o.revisions)
	}
	o.revisions[item.Key] = item.Revision
	return true
}
