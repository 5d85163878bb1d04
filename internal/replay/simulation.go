package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
	"persimmonbay/internal/trace"
)

// Timing of the modelled fleet.
const (
	messageDelay = 500 * time.Microsecond // one way, between zones
	tickEvery    = 100 * time.Millisecond
	pressedGap   = 20 * time.Millisecond
	routineEvery = 50 // rounds
	listLag      = time.Second
	leaseTTL     = 5 * time.Second
	warmUp       = 3 * time.Second // before the trace's own time begins
	zones        = 3

	balancerStream = 1 << 32 // of random numbers, apart from the streams of requests
)

// simulation is one run of a trace. Only one goroutine touches it.
type simulation struct {
	trace         *trace.Trace
	way           Variant
	configuration *configuration.Configuration
	agenda        agenda
	now           time.Duration
	entries       []*entry
	runners       map[string]*runner
	instances     map[string][]fleet.Instance
	tallies       []*tally   // by stream
	next          int        // entry that the balancer takes
	random        *rand.Rand // of the balancer
}

// epoch is the time at which the virtual clock starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(t *trace.Trace, way Variant) *simulation {
	s := &simulation{trace: t, way: way, random: rand.New(rand.NewPCG(t.Seed, balancerStream)), configuration: configuration.Generate(&t.Questionnaire),
		runners: make(map[string]*runner), instances: make(map[string][]fleet.Instance)}
	for _, service := range t.Questionnaire.Services {
		for i := range service.Runners {
			instance := fleet.Instance{ID: fmt.Sprintf("%s-%d", service.Name, i+1), Service: service.Name, AvailabilityZone: zone(i)}
			s.runners[instance.ID] = &runner{instance: instance, slots: service.AtOncePerRunner}
			s.instances[service.Name] = append(s.instances[service.Name], instance)
		}
	}
	for i := range t.Entries {
		s.addEntry(i)
	}
	for range t.Streams {
		s.tallies = append(s.tallies, newTally())
	}
	return s
}

func zone(i int) string { return fmt.Sprintf("az-%d", i%zones+1) }

func (s *simulation) addEntry(i int) {
	e := &entry{id: membership.EntryID(fmt.Sprintf("entry-%d", i+1)), zone: zone(i)}
	e.placer = dispatch.NewPlacer(slots.Holder{Entry: e.id, Incarnation: 1}, e.zone, s.time(), newOrder(s.way.Order))
	e.placer.Configure(s.configuration)
	e.placer.SetConfirmedUntil(epoch.Add(s.trace.Duration+time.Hour), s.time())
	s.entries = append(s.entries, e)
	s.list(e)
	if s.way.Slots != SlotsLent {
		e.placer.SetFixedSlots(func(upstream string) int { return s.part(i, upstream) })
	}
	e.nextAt = time.Duration(i) * time.Millisecond
	s.agenda.add(e.nextAt, func() { s.round(e, e.nextAt) })
}

// part is the i-th entry's part of an upstream's slots without lending.
func (s *simulation) part(i int, upstream string) int {
	all := s.runners[upstream].slots
	if s.way.Slots == SlotsFree {
		return all
	}
	part := all / s.trace.Entries
	if (i+int(upstream[len(upstream)-1]))%s.trace.Entries < all%s.trace.Entries {
		part++
	}
	return part
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) list(e *entry) {
	for name, all := range s.instances {
		var live []fleet.Instance
		for _, i := range all {
			if !s.runners[i.ID].dead {
				live = append(live, i)
			}
		}
		e.placer.SetInstances(name, live, s.time())
	}
}

// run replays the trace, without its floods when calm.
func (s *simulation) run(calm bool) {
	for i := range s.trace.Streams {
		stream := &s.trace.Streams[i]
		if calm && stream.Flood {
			continue
		}
		random := rand.New(rand.NewPCG(s.trace.Seed, uint64(i)))
		for _, segment := range stream.Segments {
			s.arrive(stream, s.tallies[i], segment, random, warmUp+segment.From)
		}
	}
	for _, event := range s.trace.Events {
		s.agenda.add(warmUp+event.At, func() { s.loseZone(event.LoseZone) })
	}
	for s.agenda.Len() > 0 {
		d := s.agenda.pop()
		if d.at > warmUp+s.trace.Duration {
			return
		}
		s.now = d.at
		d.do()
	}
}

// arrive puts the next arrival of a segment on the agenda.
func (s *simulation) arrive(stream *trace.Stream, t *tally, segment trace.Segment, random *rand.Rand, after time.Duration) {
	at := after + time.Duration(random.ExpFloat64()/segment.Rate*float64(time.Second))
	work := time.Duration(random.ExpFloat64() * float64(stream.Work))
	if at >= warmUp+segment.To {
		return
	}
	s.agenda.add(at, func() {
		s.offer(stream, t, work)
		s.arrive(stream, t, segment, random, at)
	})
}

func (s *simulation) offer(stream *trace.Stream, t *tally, work time.Duration) {
	a := &attempt{sim: s, entry: s.balance(), stream: stream, arrived: s.now, work: work}
	if s.counted(stream) {
		t.offered++
		a.tally = t
	}
	class := stream.Class
	if team, ok := s.configuration.Team(stream.Team); ok {
		class = min(class, team.TopClass)
	}
	a.ticket = admission.Ticket{Class: class, Team: stream.Team, Arrived: s.time(), Deadline: s.time().Add(stream.Timeout), Receiver: a}
	a.ask()
}

// counted reports whether a request that arrives now counts: while a flood
// runs, and not when the stream's own team and class is the one that floods.
func (s *simulation) counted(stream *trace.Stream) bool {
	flooded, own := false, false
	for i := range s.trace.Streams {
		f := &s.trace.Streams[i]
		if !f.Flood {
			continue
		}
		for _, segment := range f.Segments {
			if segment.Holds(s.now - warmUp) {
				flooded = true
				own = own || f.Service == stream.Service && f.Team == stream.Team && f.Class == stream.Class
			}
		}
	}
	return flooded && (stream.Flood || !own)
}

// balance takes the live entries in turn, or by the trace's parts.
func (s *simulation) balance() *entry {
	if len(s.trace.Balance) > 0 {
		return s.balanceByParts()
	}
	for {
		s.next++
		if e := s.entries[s.next%len(s.entries)]; !e.dead {
			return e
		}
	}
}

// balanceByParts draws an entry by the trace's parts. A dead one's part goes to
// the next.
func (s *simulation) balanceByParts() *entry {
	sum := 0.0
	for _, part := range s.trace.Balance {
		sum += part
	}
	left := s.random.Float64() * sum
	for i, part := range s.trace.Balance {
		if left -= part; left < 0 && !s.entries[i%len(s.entries)].dead {
			return s.entries[i%len(s.entries)]
		}
	}
	return s.entries[len(s.entries)-1]
}

func (s *simulation) loseZone(lost string) {
	for _, r := range s.runners {
		r.dead = r.dead || r.instance.AvailabilityZone == lost
	}
	for _, e := range s.entries {
		e.dead = e.dead || e.zone == lost
	}
	s.agenda.add(s.now+listLag, func() {
		for _, e := range s.entries {
			s.list(e)
		}
	})
}
