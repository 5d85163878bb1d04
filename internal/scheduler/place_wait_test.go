package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a task whose rack is full while others have room", func() {
	spread := timing
	spread.SpreadFactor = 1.5
	inRack := func(id, rack string) scheduler.WorkerInfo {
		w := worker(id)
		w.Capacity.MilliCPU, w.Rack, w.Labels = 2000, rack, []string{rack}
		return w
	}
	// affine returns a job of one task of a second with its data in rack r1.
	affine := func(id string) scheduler.Submission {
		sub := batchJob(id, 1)
		sub.Steps[0].DataRack, sub.Objective = "r1", time.Minute
		return sub
	}
	// hot returns a scene in which a task with its data in r1 runs in the only place there,
	// and the queue's run times are known.
	hot := func() (*scene, scheduler.StartOrder) {
		s := newSceneWith(spread, inRack("a", "r1"), inRack("b", "r2"), inRack("c", "r2"))
		for i := range 6 {
			s.add(affine(fmt.Sprint("earlier", i)))
			run := only(s.startAll())
			s.advance(time.Second)
			s.poll(run.Worker, nil, endReport(run, scheduler.EndDone))
		}
		s.add(affine("first"))
		return s, only(s.startAll())
	}

	It("waits, and starts in its rack as soon as there is room", func() {
		s, first := hot()
		s.advance(700 * time.Millisecond)
		s.add(affine("second"))
		Expect(s.plan().Starts).To(BeEmpty())
		s.advance(300 * time.Millisecond)
		s.poll("a", nil, endReport(first, scheduler.EndDone))
		Expect(startTexts(s.plan().Starts)).To(Equal([]string{"second/0@a#1"}))
		Expect(s.pool.PlaceWaits().Won).To(BeEquivalentTo(1))
	})

	It("starts elsewhere at once if the place would come too late, and where no factor is set", func() {
		s, _ := hot()
		s.add(affine("second"))
		Expect(only(s.plan().Starts).Worker).NotTo(Equal("a"))
		spread := timing
		s = newSceneWith(spread, inRack("a", "r1"), inRack("b", "r2"))
		s.add(affine("first"))
		s.startAll()
		s.advance(900 * time.Millisecond)
		s.add(affine("second"))
		Expect(only(s.plan().Starts).Worker).To(Equal("b"))
	})

	It("starts elsewhere once it has waited for as long as the place gains, if the estimate was wrong", func() {
		s, _ := hot()
		s.advance(700 * time.Millisecond)
		s.add(affine("second"))
		Expect(s.plan().Starts).To(BeEmpty())
		began := s.now
		for len(s.plan().Starts) == 0 {
			s.advance(5 * time.Millisecond)
			Expect(s.now.Sub(began)).To(BeNumerically("<=", 510*time.Millisecond))
		}
		Expect(s.pool.PlaceWaits().GivenUp).To(BeEquivalentTo(1))
	})

	It("starts elsewhere at once when its rack dies meanwhile", func() {
		s, _ := hot()
		s.advance(700 * time.Millisecond)
		s.add(affine("second"))
		Expect(s.plan().Starts).To(BeEmpty())
		s.silent("a")
		Expect(only(s.plan().Starts).Worker).NotTo(Equal("a"))
	})

	It("lets no more tasks wait than places come free in time, and starves none", func() {
		s, first := hot()
		s.advance(800 * time.Millisecond)
		for i := range 4 {
			s.add(affine(fmt.Sprint("more", i)))
		}
		Expect(s.plan().Starts).To(HaveLen(2), "b and c have room, one waits, one has none")
		s.advance(200 * time.Millisecond)
		s.poll("a", nil, endReport(first, scheduler.EndDone))
		Expect(only(s.plan().Starts).Worker).To(Equal("a"))
	})

	It("waits as a gang until one rack has places for all of its tasks", func() {
		s := newSceneWith(spread, inRack("a", "r1"), inRack("b", "r1"), inRack("c", "r2"), inRack("d", "r3"))
		for i := range 6 {
			s.add(affine(fmt.Sprint("earlier", i)))
			run := only(s.startAll())
			s.advance(time.Second)
			s.poll(run.Worker, nil, endReport(run, scheduler.EndDone))
		}
		s.add(affine("first"))
		s.add(affine("second"))
		runs := s.startAll()
		s.advance(800 * time.Millisecond)
		gang := batchJob("gang", 2)
		gang.Steps[0].Gang, gang.Steps[0].SameRack, gang.Objective = true, true, time.Minute
		s.add(gang)
		Expect(s.plan().Starts).To(BeEmpty(), "it has room in two racks")
		s.advance(150 * time.Millisecond)
		s.poll(runs[0].Worker, nil, endReport(runs[0], scheduler.EndDone))
		s.poll(runs[1].Worker, nil, endReport(runs[1], scheduler.EndDone))
		Expect(startTexts(s.plan().Starts)).To(ConsistOf("gang/0@a#1", "gang/1@b#1"))
	})

	It("does not wait if it lasts", func() {
		s, _ := hot()
		s.advance(900 * time.Millisecond)
		sub := longRunningJob("lasting", 1)
		sub.Steps[0].DataRack = "r1"
		s.add(sub)
		Expect(only(s.plan().Starts).Worker).NotTo(Equal("a"))
	})
})
