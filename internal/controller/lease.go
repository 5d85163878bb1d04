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

// LeaseKey is the key whose value is the ID of the entry that holds the control
// lease.
const LeaseKey = "persimmonbay/control/holder"

// renewalsPerTTL is the number of renewals within the lease's time to live.
const renewalsPerTTL = 3

// Lease acquires and renews the control lease for this entry. Run is its only
// writing goroutine; the state that others read is in a cell.
type Lease struct {
	store  platform.Store
	lessor platform.Lessor
	self   string
	ttl    time.Duration
	wait   time.Duration // longest wait of one watch call
	clock  clockwork.Clock
	log    *zap.Logger
	state  *shard.Cell[leaseState]
	id     platform.LeaseID // used by Run only; empty: not held
}

// NewLease returns a lease that is not held. ttl is its time to live and wait
// the longest wait of one watch call.
func NewLease(store platform.Store, lessor platform.Lessor, self string, ttl, wait time.Duration, clock clockwork.Clock, log *zap.Logger) *Lease {
	return &Lease{store: store, lessor: lessor, self: self, ttl: ttl, wait: wait, clock: clock, log: log, state: shard.NewCell(leaseState{})}
}

// Held reports whether this entry certainly holds the lease at now.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.state.Get().heldUntil) }

// HeldUntil returns the time until which this entry certainly holds the lease,
// or the zero time if it does not hold it.
func (l *Lease) HeldUntil() time.Time { return l.state.Get().heldUntil }

// Run acquires the lease when it is free, renews it and revokes it when ctx
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
			l.log.Warn("control lease request failed; it is sent again later", telemetry.ProblemFields(err)...)
		}
		if l.id != "" || err != nil {
			l.pause(ctx)
		}
	}
	l.release()
}

func (l *Lease) pause(ctx context.Context) {
	select {
	case <-l.clock.After(l.ttl / renewalsPerTTL):
	case <-ctx.Done():
	}
}

// acquire acquires the lease if it is free. Otherwise it waits until the key
// changes.
func (l *Lease) acquire(ctx context.Context) error {
	listing, err := l.store.List(ctx, LeaseKey)
	if err != nil {
		return err
	}
	if len(listing.Items) > 0 {
		return l.awaitChange(ctx, listing)
	}
	sentAt := l.clock.Now()
	id, err := l.lessor.Grant(ctx, l.ttl)
	if err != nil {
		return err
	}
	_, err = l.store.Put(ctx, LeaseKey, []byte(l.self), platform.MustNotExist(), id)
	if err != nil {
		_ = l.lessor.Revoke(ctx, id) // if this fails, the lease ends with its time to live
		if problem.Is(err, problem.Conflict) {
			return nil
		}
		return err
	}
	l.id = id
	l.extend(sentAt)
	l.log.Info("control lease acquired")
	return nil
}

// awaitChange waits until the key changes, with one watch call after the other.
func (l *Lease) awaitChange(ctx context.Context, listing api.Listing) error {
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
	sentAt := l.clock.Now()
	err := l.lessor.Renew(ctx, l.id)
	switch {
	case err == nil:
		l.extend(sentAt)
	case problem.Is(err, problem.NotFound):
		l.id = ""
		l.state.Update(func(leaseState) (leaseState, bool) { return leaseState{}, true })
		l.log.Warn("control lease lost; this entry stops the control work")
		return nil
	}
	return err
}

// extend sets the lease as held for its time to live from sentAt, when the
// request that granted or renewed it was sent.
func (l *Lease) extend(sentAt time.Time) {
	l.state.Update(func(leaseState) (leaseState, bool) { return leaseState{heldUntil: sentAt.Add(l.ttl)}, true })
}

func (l *Lease) release() {
	if l.id == "" {
		return
	}
	l.state.Update(func(leaseState) (leaseState, bool) { return leaseState{}, true })
	if err := l.lessor.Revoke(context.Background(), l.id); err != nil {
		l.log.Warn("control lease not revoked; it ends with its time to live", telemetry.ProblemFields(err)...)
	}
}
