package ledgerstore

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/platform"
)

// answerLease is the lease to which answers are bound at the moment. mu guards
// id and since, and is not held while a lease is granted: two may be granted
// at once, of which one lapses unused.
type answerLease struct {
	lessor platform.Lessor
	clock  clockwork.Clock

	mu    sync.Mutex
	id    platform.LeaseID // empty: none
	since time.Time        // before id was granted
}

// get returns a lease that lasts for ledger.AnswerTTL less the time for which
// answers are bound to one.
func (l *answerLease) get(ctx context.Context) (platform.LeaseID, error) {
	now := l.clock.Now()
	if id := l.fresh(now); id != "" {
		return id, nil
	}
	id, err := l.lessor.Grant(ctx, ledger.AnswerTTL)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.since = id, now
	return id, nil
}

func (l *answerLease) fresh(now time.Time) platform.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= ledger.AnswerLeaseUse {
		return ""
	}
	return l.id
}

// forget drops a lease that the platform does not know.
func (l *answerLease) forget(id platform.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = ""
	}
}
