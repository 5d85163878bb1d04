package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/fleet"
)

var _ = Describe("overload at an entry that has lent most of its slots", func() {
	const (
		held    = 2 // slots of the entry
		even    = 5 // the same if every entry had an equal number
		slow    = 700 * time.Millisecond
		timeout = 2 * time.Second
	)
	var f *admission.Fair
	offer := func(class fleet.Class, team string) admission.Verdict {
		t := ticket(class, team, &testReceiver{})
		t.Deadline = now.Add(timeout)
		return f.Offer(t, held, now)
	}

	BeforeEach(func() {
		f = admission.NewFair(shares(), admission.Limits{Requests: 10000, Bytes: 1})
		f.Refresh(held, even, now)
		charge, started := f.Start(fleet.Urgent, "herders", false)
		Expect(started).To(BeTrue())
		f.Finish(fleet.Urgent, "herders", charge, slow)
		for offer(fleet.Urgent, "herders") == admission.Queue {
		}
		f.Refresh(held, even, now.Add(100*time.Millisecond))
	})

	It("refuses requests of the overloading team that cannot be answered in time", func() {
		Expect(offer(fleet.Urgent, "herders")).To(Equal(admission.TooLate))
	})

	It("queues requests of a team within its guaranteed share, to which lent slots return", func() {
		for range 3 {
			Expect(offer(fleet.Normal, "inspectors")).To(Equal(admission.Queue))
		}
	})
})
