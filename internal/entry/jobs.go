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

// maxJobsWait bounds one watch call for jobs.
const maxJobsWait = 10 * time.Second

// jobPlacer is the part of an entry that takes jobs and, while it holds the
// control lease, places them. Its fields are set once; what they share is in
// their own shards.
type jobPlacer struct {
	entry      *Entry
	store      *jobstore.Store
	controller *jobs.Controller
}

var _ jobs.Sources = (*jobPlacer)(nil)

func newJobPlacer(e *Entry) *jobPlacer {
	client := e.platform.For(platform.PurposeJobs)
	p := &jobPlacer{entry: e, store: jobstore.New(client)}
	p.controller = jobs.NewController(p.store, client, p, placement.DefaultPolicy(), e.clock, e.log)
	e.metrics.Publish("jobs", func() any { return p.controller.Counters() })
	return p
}

// run places jobs whenever this entry holds the control lease, until ctx ends.
func (p *jobPlacer) run(ctx context.Context) {
	wait := min(p.entry.settings.Platform.WatchWait, maxJobsWait)
	p.controller.Run(ctx, p.entry.platform.For(platform.PurposeJobs), wait, p.held)
}

func (p *jobPlacer) held() bool { return p.entry.control.lease.Held(p.entry.clock.Now()) }

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

// draining reports whether maintenance takes the worker out of service or has.
func (p *jobPlacer) draining(worker string, disruptions maintenance.Disruptions) bool {
	r, known := p.entry.control.view.Record(worker)
	if !known {
		return false
	}
	_, reserved := disruptions.Find(worker)
	return reserved || r.Phase != maintenance.Serving || r.Pool != configuration.WorkersPool
}

// occupies reports whether a job may take up room on the worker, as far as this
// entry has to know: the one that holds the control lease has.
func (p *jobPlacer) occupies(worker string) bool {
	instance, listed := p.instance(worker)
	if !p.held() || listed && instance.Kind != fleet.KindWorker {
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
