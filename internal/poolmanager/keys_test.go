package poolmanager

import (
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/identity"
)

var _ = Describe("an entry whose callers' keys change", func() {
	var s *keyScene
	BeforeEach(func() {
		s = newKeyScene()
		s.run(2 * time.Second)
	})
	last := func(key string) identity.Outcome { return s.got[key][len(s.got[key])-1] }

	It("serves by the newest keys while the store answers, and reads them for an unknown one", func() {
		s.change("later", "old")
		for _, key := range []string{"old", "kept", "later", "strange"} {
			s.callEach(key, 3*time.Second)
		}
		s.run(4 * time.Second)
		Expect(s.got["kept"]).To(HaveEach(identity.Admitted))
		Expect(s.got["later"]).To(HaveEach(identity.Admitted))
		Expect(s.got["strange"]).To(HaveEach(identity.UnknownKey))
		Expect(last("old")).To(Equal(identity.UnknownKey))
	})

	It("refuses all keyed calls as not run while it cannot reach the store, and serves again after", func() {
		s.down = func(bool) bool { return true }
		s.change("", "old")
		for _, key := range []string{"old", "kept", "strange"} {
			s.callEach(key, 8*time.Second)
		}
		s.run(9 * time.Second)
		Expect(s.got["strange"]).NotTo(ContainElement(identity.UnknownKey), "a newer configuration may have the key")
		Expect(last("kept")).To(Equal(identity.Outdated))
		s.down = func(bool) bool { return false }
		s.run(time.Second)
		s.callEach("kept", time.Second)
		s.run(time.Second)
		Expect(last("kept")).To(Equal(identity.Admitted))
	})

	It("goes on while its watch is open and silent", func() {
		s.down = func(watch bool) bool { return watch }
		s.callEach("kept", 12*time.Second)
		s.run(13 * time.Second)
		Expect(s.got["kept"]).To(HaveEach(identity.Admitted))
	})

	It("counts the time for which it was frozen, with calls in its buffers", func() {
		s.freezes[s.now+5*keyTick] = func() {
			s.now += time.Second
			s.change("", "old")
			s.now += 7 * time.Second
		}
		s.callEach("old", 8*time.Second)
		s.run(500 * time.Millisecond)
		Expect(s.got["old"]).To(ContainElement(identity.Outdated))
	})

	DescribeTable("takes an answer to be as old as its call", func(watchSilent bool) {
		s.down = func(watch bool) bool { return watch && watchSilent }
		s.transit = func() time.Duration { // once, with the key withdrawn before the answer arrives
			s.transit = func() time.Duration { return keyTick }
			s.change("", "old")
			s.down = func(bool) bool { return true }
			return 3 * time.Second
		}
		s.callEach("old", 12*time.Second)
		s.run(13 * time.Second)
		Expect(last("old")).To(Equal(identity.Outdated))
	}, Entry("of the watch", false), Entry("of a read beside it", true))

	It("admits nothing by what it knew before its restart", func() {
		s.change("", "old")
		s.change("later", "")
		s.restart()
		s.callEach("old", time.Second)
		s.down = func(bool) bool { return true }
		s.run(time.Second)
		s.down = func(bool) bool { return false }
		s.callEach("old", time.Second)
		s.run(2 * time.Second)
		Expect(s.got["old"]).To(HaveEach(Not(Equal(identity.Admitted))))
		Expect(last("old")).To(Equal(identity.UnknownKey))
	})

	It("keeps the bounds with faults at random", func() {
		seeds := uint64(200)
		if n, err := strconv.ParseUint(os.Getenv("PERSIMMONBAY_SEEDS"), 10, 64); err == nil {
			seeds = n
		}
		for seed := range seeds {
			r := rand.New(rand.NewPCG(seed, 1))
			s = newKeyScene()
			silent, watchSilent := r.Float64()*0.6, r.Float64()*0.6
			s.down = func(watch bool) bool { return r.Float64() < silent || watch && r.Float64() < watchSilent }
			s.transit = func() time.Duration { return time.Duration(max(1, r.NormFloat64()*150)) * keyTick }
			for range 3 {
				length := time.Duration(r.IntN(900)) * keyTick
				s.freezes[s.now+time.Duration(r.IntN(2000))*keyTick] = func() { s.now += length }
			}
			for _, key := range []string{"old", "kept", "later", "strange"} {
				s.callEach(key, 25*time.Second)
			}
			s.run(time.Duration(r.IntN(8000)) * time.Millisecond)
			s.change("later", "")
			s.run(time.Duration(r.IntN(4000)) * time.Millisecond)
			s.change("", "old")
			if seed%4 == 0 {
				s.restart()
			}
			s.run(12 * time.Second)
		}
	})
})
