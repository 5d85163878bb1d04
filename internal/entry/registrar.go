package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

// membersPrefix holds one key for each registered entry.
const membersPrefix = "persimmonbay/entries/"

// renewalsPerTTL is how often a lease is renewed within its time to live.
const renewalsPerTTL = 3

// registrar keeps this entry's registration in the platform's store, bound to
// a lease. Only its own goroutine touches its fields.
type registrar struct {
	lessor       platform.Lessor
	store        platform.Store
	registration membership.Registration
	ttl          time.Duration
	clock        clockwork.Clock
	log          *zap.Logger
	lease        platform.LeaseID
	kept         func(since time.Time, first bool) // called when the registration is confirmed as of since; first: the key was free
}

func (e *Entry) newRegistrar() *registrar {
	client := e.platform.For(platform.PurposeMembership)
	addresses := e.Addresses()
	return &registrar{
		lessor: client,
		store:  client,
		registration: membership.Registration{
			ID:               membership.EntryID(e.settings.ID),
			PeerAddress:      addresses.Peers,
			OperatorAddress:  addresses.Operators,
			AvailabilityZone: e.settings.AvailabilityZone,
		},
		ttl:   e.settings.Membership.LeaseTTL,
		clock: e.clock,
		log:   e.log,
		kept:  e.slots.confirm,
	}
}

// run registers and renews until ctx ends, then hands the lease back.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.keep(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("registration failed", telemetry.ProblemFields(err)...)
		}
		select {
		case <-r.clock.After(r.ttl / renewalsPerTTL):
		case <-ctx.Done():
		}
	}
	r.handBack()
}

// keep renews the lease, or makes a new one when there is none or it lapsed.
func (r *registrar) keep(ctx context.Context) error {
	start := r.clock.Now()
	if r.lease != "" {
		err := r.lessor.Renew(ctx, r.lease)
		if !problem.Is(err, problem.NotFound) {
			if err == nil {
				r.kept(start, false)
			}
			return err
		}
		r.lease = ""
	}
	lease, err := r.lessor.Grant(ctx, r.ttl)
	if err != nil {
		return err
	}
	value, err := json.Marshal(r.registration)
	if err != nil {
		return err
	}
	key := membersPrefix + string(r.registration.ID)
	_, err = r.store.Put(ctx, key, value, platform.MustNotExist(), lease)
	first := err == nil
	if problem.Is(err, problem.Conflict) { // an earlier run's key
		_, err = r.store.Put(ctx, key, value, platform.Any(), lease)
	}
	if err != nil {
		return err
	}
	r.lease = lease
	r.kept(start, first)
	return nil
}

func (r *registrar) handBack() {
	if r.lease == "" {
		return
	}
	if err := r.lessor.Revoke(context.Background(), r.lease); err != nil {
		r.log.Warn("lease not handed back", telemetry.ProblemFields(err)...)
	}
}
