package replay

import (
	"fmt"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/trace"
)

// Run replays t under variant, once without its floods as the baseline and once
// with them, and reports on the latter.
func Run(t *trace.Trace, variant Variant) Report {
	baseline, flooded := newSimulation(t, variant), newSimulation(t, variant)
	baseline.run(true)
	flooded.run(false)
	report := Report{Trace: t.Name, Order: variant.Order, Slots: variant.Slots}
	for i := range t.Streams {
		report.Streams = append(report.Streams, flooded.streamReport(i, baseline.tallies[i]))
	}
	for _, r := range flooded.upstreams {
		report.MaxInFlight = max(report.MaxInFlight, r.maxInFlight)
		report.UpstreamRefusals += r.refused
	}
	for _, e := range flooded.entries {
		report.MessagesPerEntry += float64(e.messages) / float64(len(flooded.entries)) / t.Duration.Seconds()
		report.BytesPerEntry = max(report.BytesPerEntry, float64(e.bytes)/t.Duration.Seconds())
	}
	report.Missed = missed(&report, &t.Outcomes)
	return report
}

func (s *simulation) streamReport(i int, baseline *tally) StreamReport {
	stream, counted := &s.trace.Streams[i], s.tallies[i]
	r := StreamReport{
		Service: stream.Service, Team: stream.Team, Class: stream.Class, Flood: stream.Flood,
		Offered: counted.offered, Good: counted.good, BaselineGood: baseline.good,
		P99: quantile(counted.total, 99), BaselineP99: quantile(baseline.total, 99),
		WaitingP50: quantile(counted.waiting, 50), WaitingP99: quantile(counted.waiting, 99),
	}
	if stream.Flood {
		r.ShareOfGuaranteed = float64(counted.good) / min(float64(max(counted.offered, 1)), s.guaranteed(stream))
	}
	return r
}

// guaranteed returns how many requests the guaranteed share of a flooding team can
// serve on the service's live slots while the flood runs.
func (s *simulation) guaranteed(stream *trace.Stream) float64 {
	slots := 0
	for _, i := range s.instances[stream.Service] {
		if r := s.upstreams[i.ID]; !r.dead {
			slots += r.slots
		}
	}
	var span time.Duration
	for _, segment := range stream.Segments {
		span += segment.To - segment.From
	}
	return float64(slots) * span.Seconds() / stream.Work.Seconds() * s.share(stream)
}

// share returns the part of a service's slots that is guaranteed to the stream's
// team and class, by the weights of the classes and of the teams that use them.
func (s *simulation) share(stream *trace.Stream) float64 {
	var classes, class, teams, team float64
	for _, c := range s.configuration.Classes {
		classes += float64(c.Weight)
		if c.Class == stream.Class {
			class = float64(c.Weight)
		}
	}
	for i := range s.configuration.Teams {
		t := &s.configuration.Teams[i]
		if s.uses(t.Name, stream.Service, stream.Class) {
			teams += float64(t.Weight)
		}
		if t.Name == stream.Team {
			team = float64(t.Weight)
		}
	}
	return class / classes * team / teams
}

// uses reports whether a stream of the trace has this team, service and class.
func (s *simulation) uses(team, service string, class fleet.Class) bool {
	for i := range s.trace.Streams {
		if o := &s.trace.Streams[i]; o.Team == team && o.Service == service && o.Class == class {
			return true
		}
	}
	return false
}

// missed returns a line for each stated outcome that the report does not meet.
func missed(r *Report, stated *trace.ExpectedOutcomes) []string {
	var all []string
	miss := func(format string, values ...any) { all = append(all, fmt.Sprintf(format, values...)) }
	for i := range r.Streams {
		s := &r.Streams[i]
		name := fmt.Sprintf("%s/%s/%s", s.Service, s.Team, s.Class)
		if s.Flood {
			if s.ShareOfGuaranteed < stated.FloodShare {
				miss("%s: the flood gets %.3f of its guaranteed share, stated %.3f", name, s.ShareOfGuaranteed, stated.FloodShare)
			}
			continue
		}
		if s.Goodput() < stated.OtherGoodput {
			miss("%s: goodput is %.3f of that without the flood, stated %.3f", name, s.Goodput(), stated.OtherGoodput)
		}
		if s.P99Factor() > stated.OtherP99Factor {
			miss("%s: p99 is %.2f times that without the flood, stated %.2f", name, s.P99Factor(), stated.OtherP99Factor)
		}
	}
	if r.MaxInFlight > stated.MaxInFlight {
		miss("%d at work on one upstream, stated %d", r.MaxInFlight, stated.MaxInFlight)
	}
	if r.BytesPerEntry > stated.BytesPerEntry {
		miss("%.0f control bytes per second on one entry, stated %.0f", r.BytesPerEntry, stated.BytesPerEntry)
	}
	return all
}
