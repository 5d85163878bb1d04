package replay

import (
	"fmt"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/trace"
)

// Run replays t in the given way, with and without its floods.
func Run(t *trace.Trace, way Variant) Report {
	calm, flooded := newSimulation(t, way), newSimulation(t, way)
	calm.run(true)
	flooded.run(false)
	report := Report{Trace: t.Name, Order: way.Order, Slots: way.Slots}
	for i := range t.Streams {
		report.Streams = append(report.Streams, flooded.streamReport(i, calm.tallies[i]))
	}
	for _, r := range flooded.runners {
		report.MostAtWork = max(report.MostAtWork, r.most)
		report.UpstreamRefusals += r.refused
	}
	for _, e := range flooded.entries {
		report.MessagesPerEntry += float64(e.messages) / float64(len(flooded.entries)) / t.Duration.Seconds()
		report.BytesPerEntry = max(report.BytesPerEntry, float64(e.bytes)/t.Duration.Seconds())
	}
	report.Missed = missed(&report, &t.Outcomes)
	return report
}

func (s *simulation) streamReport(i int, calm *tally) StreamReport {
	stream, seen := &s.trace.Streams[i], s.tallies[i]
	r := StreamReport{
		Service: stream.Service, Team: stream.Team, Class: stream.Class, Flood: stream.Flood,
		Offered: seen.offered, Good: seen.good, CalmGood: calm.good,
		P99: quantile(seen.total, 99), CalmP99: quantile(calm.total, 99),
		WaitingP50: quantile(seen.waiting, 50), WaitingP99: quantile(seen.waiting, 99),
	}
	if stream.Flood {
		r.ShareOfOwn = float64(seen.good) / min(float64(max(seen.offered, 1)), s.guaranteed(stream))
	}
	return r
}

// guaranteed is how many requests a flood's share of the service's slots can
// serve while it runs.
func (s *simulation) guaranteed(stream *trace.Stream) float64 {
	slots := 0
	for _, i := range s.instances[stream.Service] {
		if r := s.runners[i.ID]; !r.dead {
			slots += r.slots
		}
	}
	var span time.Duration
	for _, segment := range stream.Segments {
		span += segment.To - segment.From
	}
	return float64(slots) * span.Seconds() / stream.Work.Seconds() * s.share(stream)
}

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

func (s *simulation) uses(team, service string, class fleet.Class) bool {
	for i := range s.trace.Streams {
		if o := &s.trace.Streams[i]; o.Team == team && o.Service == service && o.Class == class {
			return true
		}
	}
	return false
}

func missed(r *Report, stated *trace.Outcomes) []string {
	var all []string
	miss := func(format string, values ...any) { all = append(all, fmt.Sprintf(format, values...)) }
	for i := range r.Streams {
		s := &r.Streams[i]
		name := fmt.Sprintf("%s/%s/%s", s.Service, s.Team, s.Class)
		if s.Flood {
			if s.ShareOfOwn < stated.FloodShare {
				miss("%s: the flood gets %.3f of its own share, stated %.3f", name, s.ShareOfOwn, stated.FloodShare)
			}
			continue
		}
		if s.Goodput() < stated.OtherGoodput {
			miss("%s: goodput %.3f of that without the flood, stated %.3f", name, s.Goodput(), stated.OtherGoodput)
		}
		if s.P99Factor() > stated.OtherP99Factor {
			miss("%s: p99 %.2f times that without the flood, stated %.2f", name, s.P99Factor(), stated.OtherP99Factor)
		}
	}
	if r.MostAtWork > stated.MostAtWork {
		miss("%d at work on one upstream, stated %d", r.MostAtWork, stated.MostAtWork)
	}
	if r.BytesPerEntry > stated.BytesPerEntry {
		miss("%.0f control bytes a second on one entry, stated %.0f", r.BytesPerEntry, stated.BytesPerEntry)
	}
	return all
}
