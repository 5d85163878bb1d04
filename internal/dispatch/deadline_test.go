package dispatch_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
)

// Load of the overload after a stall: twice what needUpstreams slots serve, and a
// little of another class.
const (
	stallTimeout = 500 * time.Millisecond // of each request
	stallWork    = 20 * time.Millisecond
	stallStep    = 5 * time.Millisecond
	stallRound   = 100 * time.Millisecond // interval of ticks and of the other class's requests
	stallSpan    = 5 * time.Second
)

var _ = Describe("an overload after all upstreams stalled for as long as a timeout", func() {
	// Guards against slots that are all taken by requests started too late to be
	// answered: each keeps its slot for the service's timeout, and by then the next
	// in the queue is too late as well.
	It("is served at the capacity of the upstreams and leaves the other class its share", func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		p, _ := idlePlacer(now)
		var running []*timedRequest
		var calm []*timedRequest
		send := func(class fleet.Class, work time.Duration) *timedRequest {
			r := &timedRequest{work: work, clock: &now}
			r.ticket = admission.Ticket{Class: class, Team: "herders", Arrived: now, Deadline: now.Add(stallTimeout), Receiver: r}
			if start, verdict := p.Acquire(testService, &r.ticket, now); verdict == admission.Started {
				r.start, r.started = start, now
			} else {
				r.shed = verdict != admission.Queue
			}
			running = append(running, r)
			return r
		}
		for range needUpstreams {
			send(fleet.Urgent, stallTimeout)
		}
		began, completed := now, 0
		for now.Sub(began) < stallSpan {
			for range 4 {
				send(fleet.Urgent, stallWork)
			}
			if now.Sub(began)%stallRound == 0 {
				p.Tick(now)
				calm = append(calm, send(fleet.Background, stallWork))
			}
			now = now.Add(stallStep)
			running = slices.DeleteFunc(running, func(r *timedRequest) bool {
				if r.shed || r.started.IsZero() {
					return r.shed
				}
				at, answered := r.end()
				if at.After(now) {
					return false
				}
				p.Release(testService, r.completion(), now)
				if answered && r.ticket.Class == fleet.Urgent {
					completed++
				}
				return true
			})
		}
		capacity := needUpstreams * int((stallSpan-stallTimeout)/stallWork)
		Expect(completed).To(BeNumerically(">", capacity*3/4))
		for i, r := range calm[int(stallTimeout/stallRound):] {
			Expect(r.shed).To(BeFalse(), "request %d after the stall", i)
		}
	})
})

var _ = Describe("the service time that is expected of a request", func() {
	const usual = 100 * time.Millisecond
	var (
		now     time.Time
		p       *dispatch.Placer
		running []*timedRequest
	)

	// begin starts a request in each slot; each is to be answered in the usual time.
	begin := func() {
		running = nil
		for range needUpstreams {
			r := &timedRequest{work: usual, clock: &now}
			r.ticket = admission.Ticket{Team: "herders", Arrived: now, Deadline: now.Add(time.Minute), Receiver: r}
			start, verdict := p.Acquire(testService, &r.ticket, now)
			Expect(verdict).To(Equal(admission.Started))
			r.start, r.started = start, now
			running = append(running, r)
		}
	}

	BeforeEach(func() {
		now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		p, _ = idlePlacer(now)
		for range 10 {
			begin()
			now = now.Add(usual)
			for _, r := range running {
				p.Release(testService, r.completion(), now)
			}
		}
	})

	// Guards against late starts: requests that break off early had the others count as
	// quick, and what was then started too late broke off as well.
	It("does not fall when callers leave before their answers", func() {
		for range 10 {
			begin()
			now = now.Add(time.Millisecond)
			for _, r := range running {
				r.ticket.Deadline = now
				p.Release(testService, r.completion(), now)
			}
			now = now.Add(time.Minute) // the slots are free again
			p.Tick(now)
		}
		begin()
		late := &timedRequest{clock: &now}
		late.ticket = admission.Ticket{Team: "herders", Arrived: now, Deadline: now.Add(5 * usual), Receiver: late}
		_, verdict := p.Acquire(testService, &late.ticket, now)
		Expect(verdict).To(Equal(admission.Queue))
		now = late.ticket.Deadline.Add(-usual / 2)
		p.Release(testService, running[0].completion(), now)
		Expect(late.started.IsZero()).To(BeTrue())
	})

	// Guards against a retry that breaks off at its deadline and blocks its slot.
	It("decides whether a queued retry is still started", func() {
		begin()
		late := &timedRequest{clock: &now}
		late.ticket = admission.Ticket{Team: "herders", Arrived: now, Deadline: now.Add(5 * usual), ExcludedInstances: []string{"tags-1"}, Receiver: late}
		_, verdict := p.Acquire(testService, &late.ticket, now)
		Expect(verdict).To(Equal(admission.Queue))
		now = late.ticket.Deadline.Add(-usual / 2)
		for _, r := range running {
			p.Release(testService, r.completion(), now)
		}
		Expect(late.shed).To(BeTrue())
	})
})
