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

// simEntry is one entry of a simulated fleet. It contains the parts of a real
// entry that decide where work is sent.
type simEntry struct {
	world             *simWorld
	id                string
	up                bool
	paused            bool
	cutOff            bool // from the store
	isolated          bool // from the other entries
	remote            bool // in the region without the store
	leaseUntil        time.Time
	lastDeparture     time.Time
	registeredEntries map[string]bool // entries registered at the last read
	view              *maintenance.View
	listed            bool
	revision          uint64 // from which it watches on
	pending           []api.Event
	completeTo        uint64    // revision up to which all changes are applied
	requestedAt       time.Time // when the request for the latest reply of the store was sent
	confirmed         time.Time // all changes up to then are applied
	storeReachable    bool
	reports           map[string]simReport
	instances         map[string]fleet.Instance // its copy of the platform's list
	work              []simWork
	store             *faultyStore
	controller        *controller.Controller
	plan              *simPlan
}

var _ controller.Sources = (*simEntry)(nil)

func (w *simWorld) newEntry(id string) *simEntry {
	e := &simEntry{world: w, id: id}
	e.store = &faultyStore{Store: w.store, random: w.random, loseReplies: loseReplies, writesLeft: -1,
		unreachable: func() bool { return w.outage || e.cutOff || w.partitioned && e.remote }}
	e.controller = &controller.Controller{Store: fleetstore.New(e.store), Rebooter: w, Sources: e, Policy: w.policy, Clock: w.clock, Log: zap.NewNop()}
	return e
}

// start starts a new process with the entry's ID.
func (e *simEntry) start() {
	e.up, e.paused, e.cutOff, e.isolated = true, false, false, false
	e.leaseUntil, e.lastDeparture, e.registeredEntries = time.Time{}, e.world.now(), map[string]bool{}
	e.view, e.listed, e.revision, e.completeTo, e.pending = maintenance.NewView(), false, 0, 0, nil
	e.requestedAt, e.confirmed, e.storeReachable = time.Time{}, time.Time{}, false
	e.reports, e.instances = map[string]simReport{}, nil
	e.work, e.plan, e.store.writesLeft = nil, nil, -1
}

func (e *simEntry) crash() { e.up, e.work, e.plan = false, nil, nil }

func (e *simEntry) registered() bool { return e.world.now().Before(e.leaseUntil) }

// renew renews the registration.
func (e *simEntry) renew() {
	if e.store.fault() == nil {
		e.leaseUntil = e.world.now().Add(leaseTTL)
		e.world.registered[e.id] = e.leaseUntil
	}
}

// pull reads changes from the store unless some are pending, and applies all or
// some of them. An entry lists the records only once it is registered.
func (e *simEntry) pull() {
	if !e.listed && !e.registered() {
		return
	}
	e.watchEntries()
	if len(e.pending) == 0 {
		e.readChanges()
	}
	count := len(e.pending)
	if count > 0 && e.world.random.IntN(3) == 0 {
		count = 1 + e.world.random.IntN(count)
	}
	for _, event := range e.pending[:count] {
		e.world.must(fleetstore.ApplyEvent(e.view, event))
	}
	e.pending = e.pending[count:]
	if len(e.pending) == 0 {
		e.confirmed, e.completeTo = e.requestedAt, e.revision
	}
}

func (e *simEntry) readChanges() {
	sentAt := e.world.now()
	if !e.listed {
		listing, err := e.store.List(context.Background(), fleetstore.Prefix)
		e.storeReachable = err == nil
		if err == nil {
			e.world.must(fleetstore.ApplyListing(e.view, listing))
			e.listed, e.revision, e.requestedAt = true, listing.Revision, sentAt
		}
		return
	}
	changes, err := e.store.Watch(context.Background(), fleetstore.Prefix, e.revision, 0)
	e.storeReachable = err == nil
	if err == nil {
		e.pending, e.revision, e.requestedAt = changes.Events, changes.Revision, sentAt
	}
}

// watchEntries reads which entries are registered and records when one has
// disappeared.
func (e *simEntry) watchEntries() {
	if e.store.fault() != nil {
		return
	}
	now := e.world.registeredNow()
	for id := range e.registeredEntries {
		if !now[id] {
			e.lastDeparture = e.world.now()
		}
	}
	e.registeredEntries = now
}

// readList copies the platform's list.
func (e *simEntry) readList() {
	if e.store.fault() == nil {
		e.instances = e.world.listed()
	}
}

// serves returns the pool of the instance by the view of the entry, and whether
// the entry sends it work while it may act.
func (e *simEntry) serves(instance string) (string, bool) {
	r, known := e.view.Record(instance)
	return r.Pool, known && r.Phase == maintenance.Serving
}

// acts reports whether the process runs and has listed the records.
func (e *simEntry) acts() bool { return e.up && !e.paused && e.listed }

func (e *simEntry) mayAct() bool {
	var peers []maintenance.PeerReport
	for id := range e.knownPeers() {
		report := e.reports[id]
		peers = append(peers, maintenance.PeerReport{Entry: id, Recent: e.isRecent(report), StoreReachable: report.storeReachable, Revision: report.revision})
	}
	return maintenance.MayAct(e.world.now(), e.confirmed, fence, max(e.view.State().Revision, e.completeTo), e.id, e.view.State().Roster, peers)
}

// knownPeers returns the other entries that e knows: those registered at its
// last read, and those whose last heartbeat is younger than expiryAge.
func (e *simEntry) knownPeers() map[string]bool {
	peers := map[string]bool{}
	for id := range e.registeredEntries {
		peers[id] = true
	}
	for id, report := range e.reports {
		if e.world.now().Sub(report.at) < expiryAge {
			peers[id] = true
		}
	}
	delete(peers, e.id)
	return peers
}

func (e *simEntry) isRecent(report simReport) bool {
	return !report.at.IsZero() && e.world.now().Sub(report.at) <= suspectAfter
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

// receiveHeartbeat records what the other entry reports.
func (e *simEntry) receiveHeartbeat(other *simEntry) {
	e.reports[other.id] = simReport{at: e.world.now(), revision: other.acknowledged(), storeReachable: other.storeReachable}
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
	if e.store.fault() != nil || !registered[e.id] {
		return s, known // the registered entries cannot be read
	}
	reports := []maintenance.EntryReport{{Entry: e.id, Registered: true, Recent: true, Revision: e.acknowledged()}}
	for id := range registered {
		if id != e.id {
			reports = append(reports, maintenance.EntryReport{Entry: id, Registered: true, Recent: e.isRecent(e.reports[id]), Revision: e.reports[id].revision})
		}
	}
	for id := range e.knownPeers() {
		if report := e.reports[id]; !registered[id] {
			reports = append(reports, maintenance.EntryReport{Entry: id, Recent: e.isRecent(report), Revision: report.revision})
		}
	}
	s.SetReports(reports, e.world.now().Sub(e.lastDeparture), fence, leaseTTL)
	return s, known
}
