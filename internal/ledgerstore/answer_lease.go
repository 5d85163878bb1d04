package ledgerstore

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/platform"
)

// answerLease is the lease to which new answers are bound. mu guards id and
// since. It is not held while a lease is granted, so two leases may be granted at
// once; one of them then expires by itself.
type answerLease struct {
	lessor platform.Lessor
	clock  clockwork.Clock

	mu    sync.Mutex
	id    platform.LeaseID // empty when there is no lease
	since time.Time        // when the grant of id was requested
}

// get returns a lease whose remaining TTL is at least ledger.AnswerTTL less
// ledger.AnswerLeaseReuse. It grants a new lease if necessary.
func (l *answerLease) get(ctx context.Context) (platform.LeaseID, error) {
	now := l.clock.Now()
	if id := l.reusable(now); id != "" {
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

func (l *answerLease) reusable(now time.Time) platform.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= ledger.AnswerLeaseReuse {
		return ""
	}
	return l.id
}

// forget drops the lease id, which the platform does not know.
func (l *answerLease) forget(id platform.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = ""
	}
}
