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

// Timing of the simulated fleet.
const (
	messageDelay     = 500 * time.Microsecond // one way, between availability zones
	roundInterval    = 100 * time.Millisecond // of slot lending
	minRoundInterval = 20 * time.Millisecond  // before an expedited round
	routineRounds    = 50                     // rounds from one routine round to the next
	listLag          = time.Second
	leaseTTL         = 5 * time.Second
	warmUp           = 3 * time.Second // before the trace begins
	zones            = 3

	balancerStream = 1 << 32 // random number stream, distinct from those of the request streams
)

// simulation is one run of a trace. It must be used by one goroutine only.
type simulation struct {
	trace         *trace.Trace
	variant       Variant
	configuration *configuration.Configuration
	events        eventQueue
	now           time.Duration
	entries       []*entry
	upstreams     map[string]*upstream
	instances     map[string][]fleet.Instance
	tallies       []*tally   // by index of the stream
	next          int        // counts the picks of the load balancer
	random        *rand.Rand // used by the load balancer
}

// epoch is the time at which the virtual clock starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(t *trace.Trace, variant Variant) *simulation {
	s := &simulation{trace: t, variant: variant, random: rand.New(rand.NewPCG(t.Seed, balancerStream)), configuration: configuration.Generate(&t.Questionnaire),
		upstreams: make(map[string]*upstream), instances: make(map[string][]fleet.Instance)}
	for _, service := range t.Questionnaire.Services {
		for i := range service.Runners {
			instance := fleet.Instance{ID: fmt.Sprintf("%s-%d", service.Name, i+1), Service: service.Name, AvailabilityZone: zone(i)}
			s.upstreams[instance.ID] = &upstream{instance: instance, slots: service.AtOncePerRunner}
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
	e.placer = dispatch.NewPlacer(slots.Holder{Entry: e.id, Incarnation: 1}, e.zone, s.time(), newOrder(s.variant.Order))
	e.placer.Configure(s.configuration)
	e.placer.SetConfirmedUntil(epoch.Add(s.trace.Duration+time.Hour), s.time())
	s.entries = append(s.entries, e)
	s.updateInstances(e)
	if s.variant.Slots != SlotsLent {
		e.placer.SetFixedSlots(func(id string) int { return s.fixedSlots(i, id) })
	}
	e.nextAt = time.Duration(i) * time.Millisecond
	s.events.schedule(e.nextAt, func() { s.round(e, e.nextAt) })
}

// fixedSlots returns the number of an upstream's slots that the i-th entry may use
// without lending. The remainder of an equal division is spread over the entries
// by the last character of the upstream's ID.
func (s *simulation) fixedSlots(i int, id string) int {
	total := s.upstreams[id].slots
	if s.variant.Slots == SlotsFree {
		return total
	}
	share := total / s.trace.Entries
	if (i+int(id[len(id)-1]))%s.trace.Entries < total%s.trace.Entries {
		share++
	}
	return share
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

// updateInstances passes the live instances of each service to an entry's placer.
func (s *simulation) updateInstances(e *entry) {
	for name, all := range s.instances {
		var live []fleet.Instance
		for _, i := range all {
			if !s.upstreams[i.ID].dead {
				live = append(live, i)
			}
		}
		e.placer.SetInstances(name, live, s.time())
	}
}

// run replays the trace, with or without its floods.
func (s *simulation) run(withoutFloods bool) {
	for i := range s.trace.Streams {
		stream := &s.trace.Streams[i]
		if withoutFloods && stream.Flood {
			continue
		}
		random := rand.New(rand.NewPCG(s.trace.Seed, uint64(i)))
		for _, segment := range stream.Segments {
			s.scheduleArrival(stream, s.tallies[i], segment, random, warmUp+segment.From)
		}
	}
	for _, event := range s.trace.Events {
		s.events.schedule(warmUp+event.At, func() { s.loseZone(event.LoseZone) })
	}
	for s.events.Len() > 0 {
		e := s.events.pop()
		if e.at > warmUp+s.trace.Duration {
			return
		}
		s.now = e.at
		e.do()
	}
}

// scheduleArrival schedules the next arrival of a segment, until the segment ends.
func (s *simulation) scheduleArrival(stream *trace.Stream, t *tally, segment trace.Segment, random *rand.Rand, after time.Duration) {
	at := after + time.Duration(random.ExpFloat64()/segment.Rate*float64(time.Second))
	work := time.Duration(random.ExpFloat64() * float64(stream.Work))
	if at >= warmUp+segment.To {
		return
	}
	s.events.schedule(at, func() {
		s.startRequest(stream, t, work)
		s.scheduleArrival(stream, t, segment, random, at)
	})
}

// startRequest sends a new request of the stream to an entry.
func (s *simulation) startRequest(stream *trace.Stream, t *tally, work time.Duration) {
	a := &attempt{sim: s, entry: s.pickEntry(), stream: stream, arrived: s.now, work: work}
	if s.counted(stream) {
		t.offered++
		a.tally = t
	}
	class := stream.Class
	if team, ok := s.configuration.Team(stream.Team); ok {
		class = min(class, team.TopClass)
	}
	a.ticket = admission.Ticket{Class: class, Team: stream.Team, Arrived: s.time(), Deadline: s.time().Add(stream.Timeout), Receiver: a}
	a.acquire()
}

// counted reports whether a request that arrives now is counted. Requests are
// counted while a flood runs, except other streams' requests of the same service,
// team and class as the flood.
func (s *simulation) counted(stream *trace.Stream) bool {
	flooded, same := false, false
	for i := range s.trace.Streams {
		f := &s.trace.Streams[i]
		if !f.Flood {
			continue
		}
		for _, segment := range f.Segments {
			if segment.Contains(s.now - warmUp) {
				flooded = true
				same = same || f.Service == stream.Service && f.Team == stream.Team && f.Class == stream.Class
			}
		}
	}
	return flooded && (stream.Flood || !same)
}

// pickEntry picks the live entries in turn, or at random by the trace's weights.
func (s *simulation) pickEntry() *entry {
	if len(s.trace.EntryWeights) > 0 {
		return s.pickEntryByWeight()
	}
	for {
		s.next++
		if e := s.entries[s.next%len(s.entries)]; !e.dead {
			return e
		}
	}
}

// pickEntryByWeight picks an entry at random by the trace's weights. Requests to a
// dead entry go to the next one.
func (s *simulation) pickEntryByWeight() *entry {
	sum := 0.0
	for _, weight := range s.trace.EntryWeights {
		sum += weight
	}
	left := s.random.Float64() * sum
	for i, weight := range s.trace.EntryWeights {
		if left -= weight; left < 0 && !s.entries[i%len(s.entries)].dead {
			return s.entries[i%len(s.entries)]
		}
	}
	return s.entries[len(s.entries)-1]
}

// loseZone stops all upstreams and entries of an availability zone. The list of
// instances follows after listLag.
func (s *simulation) loseZone(lost string) {
	for _, r := range s.upstreams {
		r.dead = r.dead || r.instance.AvailabilityZone == lost
	}
	for _, e := range s.entries {
		e.dead = e.dead || e.zone == lost
	}
	s.events.schedule(s.now+listLag, func() {
		for _, e := range s.entries {
			s.updateInstances(e)
		}
	})
}
