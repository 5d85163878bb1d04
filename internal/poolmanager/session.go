package poolmanager

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// session grants, renews and ends this entry's lease in the store. mu guards id,
// endsAt, sentAt and ended.
type session struct {
	store     store.Store
	clock     clockwork.Clock
	sinceBoot func() time.Duration // time since the machine started, suspensions included
	log       *zap.Logger
	timing    *Timing
	entryID   string

	mu     sync.Mutex
	id     int64         // lease id; 0: none
	endsAt time.Duration // since boot; until then the lease is certainly valid
	sentAt time.Duration // since boot; when the last successful grant or renewal was sent
	ended  chan struct{} // closed when the lease id is dropped
}

func newSession(s store.Store, clock clockwork.Clock, sinceBoot func() time.Duration, log *zap.Logger, timing *Timing, entryID string) *session {
	return &session{store: s, clock: clock, sinceBoot: sinceBoot, log: log, timing: timing, entryID: entryID, ended: make(chan struct{})}
}

// current returns the lease's id, a channel that is closed when the lease is dropped,
// and whether the lease is certainly valid now.
func (s *session) current() (id int64, ended <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.ended, s.id != 0 && s.sinceBoot() < s.endsAt
}

// isValid reports whether id is this entry's lease and certainly valid now.
func (s *session) isValid(id int64) bool {
	current, _, ok := s.current()
	return ok && current == id
}

// dropped returns a channel that is closed once the lease id is dropped: at once if it
// is not this entry's lease any more, and not before if it only may have ended, since
// the store may still have it.
func (s *session) dropped(id int64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		return s.ended
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// sinceRenewal returns the time since the last successful grant or renewal was sent.
func (s *session) sinceRenewal() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sinceBoot() - s.sentAt
}

// run grants and renews leases until ctx ends. It does not end the last one.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.step(ctx)
		sleep(ctx, s.clock, s.renewDelay())
	}
}

// renewDelay returns how long to wait before the next renewal: a third of the lease's
// TTL, or less after a renewal that failed.
func (s *session) renewDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	third := s.timing.LeaseTTL / 3
	if s.id != 0 && s.endsAt-s.sinceBoot() > third {
		return third
	}
	return renewRetryDelay
}

// renewRetryDelay is the pause after a renewal or a grant that failed: short enough
// for several tries within a lease's TTL, without overloading a store that is down.
const renewRetryDelay = 200 * time.Millisecond

func (s *session) step(ctx context.Context) {
	// A lease that may have ended is renewed too: the store may still have it, as
	// after an outage, and then all keys attached to it are still valid.
	id, _, _ := s.current()
	limited, cancel := context.WithTimeout(ctx, s.timing.StoreTimeout)
	defer cancel()
	if id == 0 {
		s.grant(limited)
		return
	}
	s.renew(limited, id)
}

func (s *session) grant(ctx context.Context) {
	sent := s.sinceBoot()
	lease, err := s.store.Grant(ctx, s.timing.LeaseTTL)
	if err != nil {
		s.log.Debug("lease of this entry not granted, trying again", telemetry.ProblemFields(err)...)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.sentAt, s.endsAt = lease.ID, sent, sent+lease.TTL-s.timing.LeaseMargin
	s.ended = make(chan struct{})
}

// renew renews the lease. While there is no response, it sends further renewals beside
// the first one, as a lost response must not cost a large part of the lease.
func (s *session) renew(ctx context.Context, id int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the renewals that are left
	results := make(chan renewal, maxParallelRenewals)
	outstanding := 0
	for tries := 0; ; {
		if tries < maxParallelRenewals {
			tries++
			outstanding++
			go func(sent time.Duration) { results <- renewal{sent: sent, err: s.store.Renew(ctx, id)} }(s.sinceBoot())
		}
		select {
		case <-ctx.Done():
			s.log.Debug("lease of this entry not renewed in time, trying again")
			return
		case <-s.clock.After(renewRetryDelay):
		case r := <-results:
			outstanding--
			if s.renewed(id, r) || outstanding == 0 {
				return
			}
		}
	}
}

// maxParallelRenewals bounds the renewals without a response at the same time.
const maxParallelRenewals = 4

// renewed applies the result of a renewal, and reports whether it settles what became
// of the lease.
func (s *session) renewed(id int64, r renewal) bool {
	if problem.Is(r.err, problem.NotFound) {
		s.log.Warn("lease has ended, a new one is requested", zap.Int64("lease", id), zap.Duration("since_renewal", s.sinceRenewal()))
		s.drop(id)
		return true
	}
	if r.err != nil {
		s.log.Debug("lease of this entry not renewed, trying again", telemetry.ProblemFields(r.err)...)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.sentAt, s.endsAt = r.sent, r.sent+s.timing.LeaseTTL-s.timing.LeaseMargin
	}
	return true
}

// drop gives up a lease: the keys attached to it count as gone.
func (s *session) drop(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.id = 0
		close(s.ended)
	}
}

// end revokes the lease in the store, so that other entries need not wait for it to
// expire.
func (s *session) end(ctx context.Context) {
	id, _, ok := s.current()
	if !ok {
		return
	}
	s.drop(id)
	if err := s.store.Revoke(ctx, id); err != nil {
		s.log.Info("lease of this entry not revoked, it will expire", telemetry.ProblemFields(err)...)
	}
}
