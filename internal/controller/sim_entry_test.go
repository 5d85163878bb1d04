package controller_test

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/controller"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/platform/api"
)

// simEntry is one entry of a simulated fleet, with the parts of the real one
// that decide what it sends where.
type simEntry struct {
	world          *simWorld
	id             string
	up             bool
	paused         bool
	cut            bool // from the store
	isolated       bool // from the other entries
	remote         bool // in the region without the store
	leaseUntil     time.Time
	steady         time.Time
	known          map[string]bool // entries seen registered
	view           *maintenance.View
	listed         bool
	revision       uint64 // to watch from
	pending        []api.Event
	asked          time.Time // when the latest answer of the store was asked for
	confirmed      time.Time // up to when all that the store told is applied
	storeReachable bool
	heard          map[string]simReport
	instances      map[string]fleet.Instance // its copy of the platform's list
	work           []simWork
	store          *faultyStore
	controller     *controller.Controller
	plan           *simPlan
}

var _ controller.Sources = (*simEntry)(nil)

func (w *simWorld) newEntry(id string) *simEntry {
	e := &simEntry{world: w, id: id}
	e.store = &faultyStore{Store: w.store, random: w.random, loseAnswers: loseAnswers, writesLeft: -1,
		unreachable: func() bool { return w.outage || e.cut || w.split && e.remote }}
	e.controller = &controller.Controller{Store: fleetstore.New(e.store), Rebooter: w, Sources: e, Policy: w.policy, Clock: w.clock, Log: zap.NewNop()}
	return e
}

// start begins a new process under the entry's ID.
func (e *simEntry) start() {
	e.up, e.paused, e.cut, e.isolated = true, false, false, false
	e.leaseUntil, e.steady, e.known = time.Time{}, e.world.now(), map[string]bool{}
	e.view, e.listed, e.revision, e.pending = maintenance.NewView(), false, 0, nil
	e.asked, e.confirmed, e.storeReachable = time.Time{}, time.Time{}, false
	e.heard, e.instances = map[string]simReport{}, nil
	e.work, e.plan, e.store.writesLeft = nil, nil, -1
}

func (e *simEntry) crash() { e.up, e.work, e.plan = false, nil, nil }

func (e *simEntry) registered() bool { return e.world.now().Before(e.leaseUntil) }

// renew keeps the registration.
func (e *simEntry) renew() {
	if e.store.fails() == nil {
		e.leaseUntil = e.world.now().Add(leaseTTL)
		e.world.registered[e.id] = e.leaseUntil
	}
}

// pull asks the store what has changed, and takes some or all of it over. An
// entry lists only once it is registered.
func (e *simEntry) pull() {
	if !e.listed && !e.registered() {
		return
	}
	e.watchEntries()
	if len(e.pending) == 0 {
		e.ask()
	}
	take := len(e.pending)
	if take > 0 && e.world.random.IntN(3) == 0 {
		take = 1 + e.world.random.IntN(take)
	}
	for _, event := range e.pending[:take] {
		e.world.must(fleetstore.ApplyEvent(e.view, event))
	}
	e.pending = e.pending[take:]
	if len(e.pending) == 0 {
		e.confirmed = e.asked
	}
}

func (e *simEntry) ask() {
	begun := e.world.now()
	if !e.listed {
		listing, err := e.store.List(context.Background(), fleetstore.Prefix)
		e.storeReachable = err == nil
		if err == nil {
			e.world.must(fleetstore.ApplyListing(e.view, listing))
			e.listed, e.revision, e.asked = true, listing.Revision, begun
		}
		return
	}
	changes, err := e.store.Watch(context.Background(), fleetstore.Prefix, e.revision, 0)
	e.storeReachable = err == nil
	if err == nil {
		e.pending, e.revision, e.asked = changes.Events, changes.Revision, begun
	}
}

// watchEntries notes which entries are registered, and when one has gone.
func (e *simEntry) watchEntries() {
	if e.store.fails() != nil {
		return
	}
	now := e.world.registeredNow()
	for id := range e.known {
		if !now[id] {
			e.steady = e.world.now()
		}
	}
	e.known = now
}

// poll copies the platform's list.
func (e *simEntry) poll() {
	if e.store.fails() == nil {
		e.instances = e.world.listed()
	}
}

// serves returns the pool whose work the entry sends to the instance, if it
// may act.
func (e *simEntry) serves(instance string) (string, bool) {
	r, known := e.view.Record(instance)
	return r.Pool, known && r.Phase == maintenance.Serving
}

// acts reports whether the entry sends anything now.
func (e *simEntry) acts() bool { return e.up && !e.paused && e.listed }

func (e *simEntry) mayAct() bool {
	var peers []maintenance.PeerReport
	for id := range e.roster() {
		w := e.heard[id]
		peers = append(peers, maintenance.PeerReport{Entry: id, Recent: e.fresh(w), StoreReachable: w.storeReachable, Revision: w.revision})
	}
	return maintenance.MayAct(e.world.now(), e.confirmed, fence, e.acknowledged(), e.id, e.view.State().Roster, peers)
}

// roster returns the other entries that e knows: those it saw registered last
// and those heard not long ago.
func (e *simEntry) roster() map[string]bool {
	roster := map[string]bool{}
	for id := range e.known {
		roster[id] = true
	}
	for id, w := range e.heard {
		if e.world.now().Sub(w.at) < forgetAfter {
			roster[id] = true
		}
	}
	delete(roster, e.id)
	return roster
}

func (e *simEntry) fresh(w simReport) bool {
	return !w.at.IsZero() && e.world.now().Sub(w.at) <= silentFor
}

func (e *simEntry) acknowledged() uint64 {
	revision := e.view.State().Revision
	e.view.Leaving(func(r maintenance.Record) {
		for _, w := range e.work {
			if w.instance == r.Instance && w.until.After(e.world.now()) {
				revision = min(revision, r.Version-1)
			}
		}
	})
	return revision
}

// hear takes over the word of another entry.
func (e *simEntry) hear(other *simEntry) {
	e.heard[other.id] = simReport{at: e.world.now(), revision: other.acknowledged(), storeReachable: other.storeReachable}
}

// Changed implements controller.Sources.
func (e *simEntry) Changed() <-chan struct{} { return e.view.Changed() }

// State implements controller.Sources.
func (e *simEntry) State() maintenance.State { return e.view.State() }

// Snapshot implements controller.Sources.
func (e *simEntry) Snapshot(context.Context) (maintenance.Snapshot, bool) {
	s := maintenance.Snapshot{Now: e.world.now(), Listed: e.instances, ListedKnown: e.instances != nil,
		Budgets: e.world.budgets, ServicePools: e.world.servicePools}
	known := e.view.Fill(&s)
	registered := e.world.registeredNow()
	if e.store.fails() != nil || !registered[e.id] {
		return s, known // the store does not tell who is registered
	}
	words := []maintenance.EntryReport{{Entry: e.id, Registered: true, Recent: true, Revision: e.acknowledged()}}
	for id := range registered {
		if id != e.id {
			words = append(words, maintenance.EntryReport{Entry: id, Registered: true, Recent: e.fresh(e.heard[id]), Revision: e.heard[id].revision})
		}
	}
	for id := range e.roster() {
		if w := e.heard[id]; !registered[id] {
			words = append(words, maintenance.EntryReport{Entry: id, Recent: e.fresh(w), Revision: w.revision})
		}
	}
	s.Await(words, e.world.now().Sub(e.steady), fence, leaseTTL)
	return s, known
}
