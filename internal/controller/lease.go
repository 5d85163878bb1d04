package controller

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/telemetry"
)

// LeaseKey holds the ID of the entry that does the control work.
const LeaseKey = "persimmonbay/control/holder"

// renewalsPerTTL is how often the lease is renewed within its time to live.
const renewalsPerTTL = 3

// Lease is this entry's try for the control lease. Its loop is one goroutine;
// what others ask is in a cell.
type Lease struct {
	store  platform.Store
	lessor platform.Lessor
	self   string
	ttl    time.Duration
	wait   time.Duration // of one watch call
	clock  clockwork.Clock
	log    *zap.Logger
	held   *shard.Cell[holder]
	id     platform.LeaseID // only used by the loop
}

// NewLease returns a lease that is not held.
func NewLease(store platform.Store, lessor platform.Lessor, self string, ttl, wait time.Duration, clock clockwork.Clock, log *zap.Logger) *Lease {
	return &Lease{store: store, lessor: lessor, self: self, ttl: ttl, wait: wait, clock: clock, log: log, held: shard.NewCell(holder{})}
}

// Held reports whether this entry surely holds the lease at now.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.held.Get().until) }

// HeldUntil returns until when this entry surely holds the lease; the zero time
// when it does not.
func (l *Lease) HeldUntil() time.Time { return l.held.Get().until }

// Run tries for the lease, keeps it while it can, and hands it back when ctx
// ends.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		if l.id == "" {
			err = l.acquire(ctx)
		} else {
			err = l.renew(ctx)
		}
		if err != nil && ctx.Err() == nil {
			l.log.Warn("control lease", telemetry.ProblemFields(err)...)
		}
		if l.id != "" || err != nil {
			l.pause(ctx)
		}
	}
	l.handBack()
}

func (l *Lease) pause(ctx context.Context) {
	select {
	case <-l.clock.After(l.ttl / renewalsPerTTL):
	case <-ctx.Done():
	}
}

// acquire takes the lease when nobody holds it, or waits for a change.
func (l *Lease) acquire(ctx context.Context) error {
	listing, err := l.store.List(ctx, LeaseKey)
	if err != nil {
		return err
	}
	if len(listing.Items) > 0 {
		return l.awaitEnd(ctx, listing)
	}
	begun := l.clock.Now()
	id, err := l.lessor.Grant(ctx, l.ttl)
	if err != nil {
		return err
	}
	_, err = l.store.Put(ctx, LeaseKey, []byte(l.self), platform.MustNotExist(), id)
	if err != nil {
		_ = l.lessor.Revoke(ctx, id) // lapses by itself otherwise
		if problem.Is(err, problem.Conflict) {
			return nil
		}
		return err
	}
	l.id = id
	l.hold(begun)
	l.log.Info("control lease taken")
	return nil
}

// awaitEnd waits until the key changes, call after call.
func (l *Lease) awaitEnd(ctx context.Context, listing api.Listing) error {
	revision := listing.Revision
	for {
		changes, err := l.store.Watch(ctx, LeaseKey, revision, l.wait)
		if problem.Is(err, problem.Compacted) {
			return nil
		}
		if err != nil || len(changes.Events) > 0 {
			return err
		}
		revision = changes.Revision
	}
}

func (l *Lease) renew(ctx context.Context) error {
	begun := l.clock.Now()
	err := l.lessor.Renew(ctx, l.id)
	switch {
	case err == nil:
		l.hold(begun)
	case problem.Is(err, problem.NotFound):
		l.id = ""
		l.held.Update(func(holder) (holder, bool) { return holder{}, true })
		l.log.Warn("control lease lost")
		return nil
	}
	return err
}

// hold notes that the lease was good when a call begun at the given time.
func (l *Lease) hold(begun time.Time) {
	l.held.Update(func(holder) (holder, bool) { return holder{until: begun.Add(l.ttl)}, true })
}

func (l *Lease) handBack() {
	if l.id == "" {
		return
	}
	l.held.Update(func(holder) (holder, bool) { return holder{}, true })
	if err := l.lessor.Revoke(context.Background(), l.id); err != nil {
		l.log.Warn("control lease not handed back", telemetry.ProblemFields(err)...)
	}
}
