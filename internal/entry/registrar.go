package entry

import (
	"cmp"
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

// failuresToOutage is how many failures in a row mean that the store is out of
// reach.
const failuresToOutage = 2

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
	failures     int                               // in a row
	reached      func(bool)                        // told after every try whether the store is in reach
}

func (e *Entry) newRegistrar() *registrar {
	client := e.platform.For(platform.PurposeMembership)
	return &registrar{
		lessor:       client,
		store:        client,
		registration: *e.ownRegistration(),
		ttl:          e.settings.Membership.LeaseTTL,
		clock:        e.clock,
		log:          e.log,
		reached:      e.storeReached,
		kept:         e.slots.confirm,
	}
}

// advertised returns the addresses that others are told.
func (e *Entry) advertised() Addresses {
	a := e.Addresses()
	a.Operators = cmp.Or(e.settings.Advertise.Operators, a.Operators)
	a.Peers = cmp.Or(e.settings.Advertise.Peers, a.Peers)
	return a
}

// run registers and renews until ctx ends, then hands the lease back.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.keep(ctx)
		if ctx.Err() != nil {
			break
		}
		r.judge(err)
		if err != nil {
			r.log.Warn("registration failed", telemetry.ProblemFields(err)...)
		}
		select {
		case <-r.clock.After(r.ttl / renewalsPerTTL):
		case <-ctx.Done():
		}
	}
	r.handBack()
}

// judge counts failures: a single one may be a lost answer.
func (r *registrar) judge(err error) {
	if err == nil {
		r.failures = 0
	} else {
		r.failures++
	}
	r.reached(r.failures < failuresToOutage)
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
