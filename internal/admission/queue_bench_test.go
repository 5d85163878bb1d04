package admission_test

import (
	"fmt"
	"testing"
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/fleet"
)

// benchTeams is the number of teams that are configured and have a waiting request.
const benchTeams = 300

// BenchmarkQueue measures one request through a queue in which 300 teams wait: its
// offer, the choice of the next request and the end of that one.
func BenchmarkQueue(b *testing.B) {
	s := shares()
	for i := range benchTeams {
		s.Teams[fmt.Sprintf("team-%d", i)] = float64(1 + i%12)
	}
	f := admission.NewFair(s, admission.Limits{Requests: 1 << 20, Bytes: 1})
	r := &testReceiver{}
	for i := range benchTeams {
		f.Offer(ticket(fleet.Normal, fmt.Sprintf("team-%d", i), r), 8, now)
	}
	t := ticket(fleet.Normal, "herders", r)
	f.Refresh(1000, 1000, now)
	b.ReportAllocs()
	for range b.N {
		f.Offer(t, 8, now)
		next, charge := f.Next(now)
		f.Finish(next.Class, next.Team, charge, testWork)
		t = next
	}
}

// BenchmarkRefusal measures the refusal of an offer while 300 teams wait.
func BenchmarkRefusal(b *testing.B) {
	s := shares()
	for i := range benchTeams {
		s.Teams[fmt.Sprintf("team-%d", i)] = float64(1 + i%12)
	}
	f := admission.NewFair(s, admission.DefaultLimits)
	r := &testReceiver{}
	for i := range benchTeams {
		f.Offer(ticket(fleet.Normal, fmt.Sprintf("team-%d", i), r), 8, now)
	}
	t := ticket(fleet.Normal, "team-1", r)
	t.Deadline = now.Add(time.Millisecond)
	b.ReportAllocs()
	for range b.N {
		if f.Offer(t, 8, now) == admission.Queue {
			b.Fatal("queued")
		}
	}
}
