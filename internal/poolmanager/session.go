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

// session is this entry's lease in the store. mu guards id, endsAt and ended.
type session struct {
	store   store.Store
	clock   clockwork.Clock
	boot    func() time.Duration // time since the machine started, suspensions included
	log     *zap.Logger
	timing  *Timing
	entryID string

	mu     sync.Mutex
	id     int64         // 0: none
	endsAt time.Duration // since boot: until then the lease surely holds
	sentAt time.Duration // since boot: when the last grant or renewal that succeeded was sent
	ended  chan struct{} // closed when the lease id is given up
}

func newSession(s store.Store, clock clockwork.Clock, boot func() time.Duration, log *zap.Logger, bounds *Timing, node string) *session {
	return &session{store: s, clock: clock, boot: boot, log: log, timing: bounds, entryID: node, ended: make(chan struct{})}
}

// current returns the lease while it surely holds, with a channel that is
// closed once it is given up.
func (s *session) current() (id int64, ended <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.ended, s.id != 0 && s.boot() < s.endsAt
}

// holds reports whether the lease id surely holds now.
func (s *session) holds(id int64) bool {
	now, _, ok := s.current()
	return ok && now == id
}

// sinceRenewal returns how long ago the last grant or renewal was sent.
func (s *session) sinceRenewal() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot() - s.sentAt
}

// run keeps a lease until ctx ends, and ends it then.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.step(ctx)
		sleep(ctx, s.clock, s.pauseFor())
	}
}

// pauseFor returns how long to wait before the lease is renewed: a third of its
// time, or less after a renewal that failed.
func (s *session) pauseFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	third := s.timing.LeaseTTL / 3
	if s.id != 0 && s.endsAt-s.boot() > third {
		return third
	}
	return renewRetry
}

// renewRetry is the pause after a renewal or a grant that failed: several tries
// within a lease's time, without pressing a store that is down.
const renewRetry = 200 * time.Millisecond

func (s *session) step(ctx context.Context) {
	// A lease that may have ended is renewed too: if the store kept it, as it
	// may in an outage, all that hangs on it is still ours.
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
	sent := s.boot()
	lease, err := s.store.Grant(ctx, s.timing.LeaseTTL)
	if err != nil {
		s.log.Debug("lease not granted", telemetry.ProblemFields(err)...)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.sentAt, s.endsAt = lease.ID, sent, sent+lease.TTL-s.timing.LeaseMargin
	s.ended = make(chan struct{})
}

func (s *session) renew(ctx context.Context, id int64) {
	sent := s.boot()
	err := s.store.Renew(ctx, id)
	if problem.Is(err, problem.NotFound) {
		s.log.Warn("lease has ended", zap.Int64("lease", id), zap.Duration("since_renewal", s.sinceRenewal()))
		s.giveUp(id)
		return
	}
	if err != nil {
		s.log.Debug("lease not renewed", telemetry.ProblemFields(err)...)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.sentAt, s.endsAt = sent, sent+s.timing.LeaseTTL-s.timing.LeaseMargin
	}
}

// giveUp forgets a lease: what hangs on it is no longer ours.
func (s *session) giveUp(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.id = 0
		close(s.ended)
	}
}

// end ends the lease in the store, so that others need not wait for its end.
func (s *session) end(ctx context.Context) {
	id, _, ok := s.current()
	if !ok {
		return
	}
	s.giveUp(id)
	if err := s.store.Revoke(ctx, id); err != nil {
		s.log.Info("lease ends by itself", telemetry.ProblemFields(err)...)
	}
}
