package poolmanager

import (
	"sync"

	"go.uber.org/zap"

	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// invalidEntries remembers which undecodable values of the store were logged, so that
// each revision is logged once. mu guards revisions.
type invalidEntries struct {
	mu        sync.Mutex
	revisions map[string]int64 // the last one logged, by key
}

// maxInvalidEntries bounds the keys that are remembered. At the bound all are
// forgotten, and lines may repeat.
const maxInvalidEntries = 4096

func newInvalidEntries() *invalidEntries { return &invalidEntries{revisions: make(map[string]int64)} }

// logOnce logs that a value of the store could not be decoded, unless this revision
// was logged before.
func (e *invalidEntries) logOnce(log *zap.Logger, message string, item *store.Item, err error) {
	if e.isNew(item) {
		log.Warn(message, append(telemetry.ProblemFields(err), zap.String("key", item.Key))...)
	}
}

func (e *invalidEntries) isNew(item *store.Item) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if logged, known := e.revisions[item.Key]; known && logged >= item.Revision {
		return false
	}
	if len(e.revisions) >= maxInvalidEntries {
		clear(e.revisions)
	}
	e.revisions[item.Key] = item.Revision
	return true
}
