package poolmanager

import (
	"sync"

	"go.uber.org/zap"

	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// oddEntries remembers which entries of the store that are not understood were
// told, so that each version is told once. mu guards revisions.
type oddEntries struct {
	mu        sync.Mutex
	revisions map[string]int64 // the last one told, by key
}

// rememberedOdd bounds the keys that are remembered. Beyond it, lines repeat.
const rememberedOdd = 4096

func newOddEntries() *oddEntries { return &oddEntries{revisions: make(map[string]int64)} }

// tell writes one line about a version of an entry, unless it was told before.
func (o *oddEntries) tell(log *zap.Logger, message string, item *store.Item, err error) {
	if o.news(item) {
		log.Warn(message, append(telemetry.ProblemFields(err), zap.String("key", item.Key))...)
	}
}

func (o *oddEntries) news(item *store.Item) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if told, known := o.revisions[item.Key]; known && told >= item.Revision {
		return false
	}
	if len(o.revisions) >= rememberedOdd {
		clear(o.revisions)
	}
	o.revisions[item.Key] = item.Revision
	return true
}
