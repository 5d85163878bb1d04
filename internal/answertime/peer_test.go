package answertime_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/answertime"
)

var _ = Describe("the timeout of calls to a peer", func() {
	const (
		floor   = 50 * time.Millisecond
		ceiling = 700 * time.Millisecond
		usual   = 3 * time.Millisecond
	)
	limits := answertime.Limits{Floor: floor, Ceiling: ceiling}
	var own *answertime.Estimate
	var peer *answertime.Peer
	BeforeEach(func() { own, peer = &answertime.Estimate{}, &answertime.Peer{} })

	// call makes one call whose answer would take the given time, with as many copies as got
	// none before, and reports whether it was answered.
	copies := 0
	call := func(takes time.Duration) bool {
		if takes > peer.Timeout(limits, own, copies) {
			peer.Lost()
			copies++
			return false
		}
		peer.Answered(takes)
		own.Add(takes)
		copies = 0
		return true
	}
	const lost = time.Hour

	It("is the longest one before the first answer", func() {
		Expect(peer.Timeout(limits, own, 0)).To(Equal(ceiling))
		Expect(peer.State(limits)).To(Equal(answertime.Unknown))
	})

	It("is always the longest one where timeouts don't follow the answers", func() {
		peer.Answered(usual)
		Expect(peer.Timeout(answertime.Limits{Ceiling: ceiling}, own, 3)).To(Equal(ceiling))
	})

	It("is the shortest one for a peer that answers quickly", func() {
		for range 10 {
			Expect(call(usual)).To(BeTrue())
		}
		Expect(peer.Timeout(limits, own, 0)).To(Equal(floor))
		Expect(peer.State(limits)).To(Equal(answertime.Sound))
	})

	// A fifth of all calls lost (deploy/days/unanswered-orders.toml): each waited 0.7 s.
	It("stays short for a peer that loses a fifth of the calls and answers the others quickly", func() {
		random := rand.New(rand.NewSource(1))
		call(usual)
		waited := time.Duration(0)
		const calls = 1000
		for range calls {
			if random.Intn(5) == 0 {
				waited += peer.Timeout(limits, own, copies)
				call(lost)
				continue
			}
			Expect(call(usual)).To(BeTrue())
		}
		Expect(waited).To(BeNumerically("<", calls/5*2*floor))
		Expect(peer.State(limits)).To(Equal(answertime.Lossy))
	})

	It("covers the answers of a slow peer, with their spread", func() {
		random := rand.New(rand.NewSource(2))
		call(180 * time.Millisecond)
		for range 200 {
			Expect(call(180*time.Millisecond + time.Duration(random.Intn(40))*time.Millisecond)).To(BeTrue())
		}
		Expect(peer.State(limits)).To(Equal(answertime.Slow))
	})

	It("covers the answers of a peer that becomes slow after a few calls", func() {
		for range 100 {
			call(usual)
		}
		tries := 1
		for !call(400 * time.Millisecond) {
			tries++
		}
		Expect(tries).To(BeNumerically("<=", 5))
		cut := 0
		for range 50 {
			if !call(400 * time.Millisecond) {
				cut++
			}
		}
		Expect(cut).To(BeNumerically("<=", 3))
	})

	It("grows to the longest one for a dead peer, which is then told from a lossy one", func() {
		call(usual)
		for range 5 {
			call(lost)
		}
		Expect(peer.Timeout(limits, own, copies)).To(Equal(ceiling))
		Expect(peer.State(limits)).To(Equal(answertime.Silent))
		Expect(call(usual)).To(BeTrue())
		Expect(peer.State(limits)).To(Equal(answertime.Lossy))
	})

	// Owners on 0.12 core read answers after 150 ms (small twin of the largest deployment).
	It("has a floor that a weak process raises in proportion", func() {
		Expect(answertime.FloorOf(floor, ceiling, 0.8, 0.8)).To(Equal(floor))
		Expect(answertime.FloorOf(floor, ceiling, 0.4, 0.8)).To(Equal(2 * floor))
		Expect(answertime.FloorOf(floor, ceiling, 0.01, 0.8)).To(Equal(ceiling))
		Expect(answertime.FloorOf(floor, ceiling, 0, 0.8)).To(Equal(floor), "not known")
	})

	It("covers the delay of this process in reading answers, also for a peer that answered quickly", func() {
		peer.Answered(usual)
		for range 20 {
			own.Add(300 * time.Millisecond)
		}
		Expect(peer.Timeout(limits, own, 0)).To(BeNumerically(">=", 300*time.Millisecond))
	})

	It("is long for a while after this process was frozen, and short again later", func() {
		call(usual)
		for range 100 {
			own.Add(usual)
		}
		for range 8 { // what had arrived while it was frozen
			own.Add(2 * time.Second)
		}
		Expect(peer.Timeout(limits, own, 0)).To(Equal(ceiling))
		for range 100 {
			own.Add(usual)
		}
		Expect(peer.Timeout(limits, own, 0)).To(Equal(floor))
	})

	It("takes no time from the answer to a call that was repeated", func() {
		call(usual)
		for range 20 {
			peer.AnsweredAgain()
		}
		Expect(peer.Timeout(limits, own, 0)).To(Equal(floor))
	})

	It("doubles when an order was carried out whose answer came too late, until many answers came in time", func() {
		call(usual)
		peer.WasCarriedOut()
		Expect(peer.Timeout(limits, own, 0)).To(Equal(2 * floor))
		for range 100 {
			call(usual)
		}
		Expect(peer.Timeout(limits, own, 0)).To(Equal(floor))
	})
})
