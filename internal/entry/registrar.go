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

// membersPrefix is the prefix of the keys of registered entries, one for each.
const membersPrefix = "persimmonbay/entries/"

// renewalsPerTTL is how often a lease is renewed within its time to live.
const renewalsPerTTL = 3

// failuresToOutage is how many failures in a row count as an outage of the store.
const failuresToOutage = 2

// registrar maintains this entry's registration in the platform's store, bound to
// a lease. Only its own goroutine accesses its fields.
type registrar struct {
	lessor       platform.Lessor
	store        platform.Store
	registration membership.Registration
	ttl          time.Duration
	clock        clockwork.Clock
	log          *zap.Logger
	lease        platform.LeaseID
	confirmed    func(since time.Time, first bool) // called when the registration is confirmed as of since; first: the key did not exist
	failures     int                               // in a row
	setReachable func(bool)                        // called after every attempt: whether the store is reachable
}

func (e *Entry) newRegistrar() *registrar {
	client := e.platform.WithPurpose(platform.PurposeMembership)
	return &registrar{
		lessor:       client,
		store:        client,
		registration: *e.ownRegistration(),
		ttl:          e.settings.Membership.LeaseTTL,
		clock:        e.clock,
		log:          e.log,
		setReachable: e.recordStoreReachable,
		confirmed:    e.slots.confirm,
	}
}

// advertised returns the addresses that the other entries are to use: those of the
// settings, or else those on which the entry listens.
func (e *Entry) advertised() Addresses {
	a := e.Addresses()
	a.Operators = cmp.Or(e.settings.Advertise.Operators, a.Operators)
	a.Peers = cmp.Or(e.settings.Advertise.Peers, a.Peers)
	return a
}

// run registers the entry and renews its lease until ctx ends, then revokes it.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.renewOrRegister(ctx)
		if ctx.Err() != nil {
			break
		}
		r.recordResult(err)
		if err != nil {
			r.log.Warn("registration failed", telemetry.ProblemFields(err)...)
		}
		select {
		case <-r.clock.After(r.ttl / renewalsPerTTL):
		case <-ctx.Done():
		}
	}
	r.revoke()
}

// recordResult counts failures in a row. A single one does not count as an
// outage: only its answer may have been lost.
func (r *registrar) recordResult(err error) {
	if err == nil {
		r.failures = 0
	} else {
		r.failures++
	}
	r.setReachable(r.failures < failuresToOutage)
}

// renewOrRegister renews the lease. When there is none or it has lapsed, it
// registers the entry with a new one.
func (r *registrar) renewOrRegister(ctx context.Context) error {
	start := r.clock.Now()
	if r.lease != "" {
		err := r.lessor.Renew(ctx, r.lease)
		if !problem.Is(err, problem.NotFound) {
			if err == nil {
				r.confirmed(start, false)
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
	if problem.Is(err, problem.Conflict) { // the key of an earlier incarnation
		_, err = r.store.Put(ctx, key, value, platform.Any(), lease)
	}
	if err != nil {
		return err
	}
	r.lease = lease
	r.confirmed(start, first)
	return nil
}

// revoke ends the lease, which deletes the registration.
func (r *registrar) revoke() {
	if r.lease == "" {
		return
	}
	if err := r.lessor.Revoke(context.Background(), r.lease); err != nil {
		r.log.Warn("could not revoke the registration's lease; the entry stays registered until it lapses", telemetry.ProblemFields(err)...)
	}
}
