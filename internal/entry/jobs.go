package entry

import (
	"context"
	"sort"
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/jobs"
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/platform"
)

// maxJobsWait bounds one watch call for jobs, as the settings may allow longer ones.
const maxJobsWait = 10 * time.Second

// jobPlacer is the part of an entry that accepts jobs and, while the entry holds
// the control lease, places them. Its fields are set once; shared state is in
// sharded containers, each with its own locks.
type jobPlacer struct {
	entry      *Entry
	store      *jobstore.Store
	controller *jobs.Controller
}

var _ jobs.Sources = (*jobPlacer)(nil)

func newJobPlacer(e *Entry) *jobPlacer {
	client := e.platform.WithPurpose(platform.PurposeJobs)
	p := &jobPlacer{entry: e, store: jobstore.New(client)}
	p.controller = jobs.NewController(p.store, client, p, placement.DefaultPolicy(), e.clock, e.log)
	e.metrics.Publish("jobs", func() any { return p.controller.Counters() })
	return p
}

// run places jobs while this entry holds the control lease, until ctx ends.
func (p *jobPlacer) run(ctx context.Context) {
	wait := min(p.entry.settings.Platform.WatchWait, maxJobsWait)
	p.controller.Run(ctx, p.entry.platform.WithPurpose(platform.PurposeJobs), wait, p.holdsLease)
}

func (p *jobPlacer) holdsLease() bool { return p.entry.control.lease.Held(p.entry.clock.Now()) }

// Fleet implements jobs.Sources.
func (p *jobPlacer) Fleet() (jobs.Fleet, bool) {
	f := jobs.Fleet{Teams: make(map[string]placement.Team)}
	configured := p.entry.inForce.Get().Configuration
	if configured == nil {
		return f, false
	}
	if configured.Jobs != nil {
		for _, t := range configured.Jobs.Teams {
			f.Teams[t.Team] = placement.Team{Quota: t.Quota, TopClass: t.TopClass}
		}
	}
	disruptions := p.entry.control.view.State().Disruptions
	for _, i := range p.entry.inventory.Get().Instances {
		if i.Kind == fleet.KindWorker {
			f.Workers = append(f.Workers, placement.Worker{ID: i.ID, AvailabilityZone: i.AvailabilityZone, Rack: i.Rack, Size: i.Resources,
				Live: i.State == fleet.Live, Draining: p.draining(i.ID, disruptions)})
		}
	}
	sort.Slice(f.Workers, func(a, b int) bool { return f.Workers[a].ID < f.Workers[b].ID })
	return f, true
}

// draining reports whether maintenance is taking the worker out of service or has
// done so.
func (p *jobPlacer) draining(worker string, disruptions maintenance.Disruptions) bool {
	r, known := p.entry.control.view.Record(worker)
	if !known {
		return false
	}
	_, reserved := disruptions.Find(worker)
	return reserved || r.Phase != maintenance.Serving || r.Pool != configuration.WorkersPool
}

// occupies reports whether a job may occupy capacity of the worker. Only the entry
// that holds the control lease has to know; on others it is false.
func (p *jobPlacer) occupies(worker string) bool {
	instance, listed := p.instance(worker)
	if !p.holdsLease() || listed && instance.Kind != fleet.KindWorker {
		return false
	}
	return p.controller.Occupies(worker)
}

func (p *jobPlacer) instance(id string) (fleet.Instance, bool) {
	for _, i := range p.entry.inventory.Get().Instances {
		if i.ID == id {
			return i, true
		}
	}
	return fleet.Instance{}, false
}
