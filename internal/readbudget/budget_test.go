package readbudget

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a read budget", func() {
	const bodyBytes = 256 << 10
	begin := time.Unix(1_000_000, 0)
	limits := Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}.WithDefaults()
	var given map[string]Cause
	var budget *Budget
	var places *Places
	open := func(name string, at time.Time) *Account {
		a, ok := places.Open(at, func(c Cause) { given[name] = c })
		Expect(ok).To(BeTrue())
		return a
	}
	read := func(a *Account, from time.Time, n int) {
		a.Received(from, 200, limits)
		a.BeginBody(from)
		a.BodyRead(from, n)
		budget.Relieve(from)
	}
	BeforeEach(func() {
		given, budget = map[string]Cause{}, New(4*bodyBytes)
		places = budget.Places(8)
	})

	// Clients that stop just short of the end of a large body.
	It("gives up first what has held most for longest, and never an ordinary request that has just come", func() {
		for i, name := range []string{"a", "b", "c"} {
			read(open(name, begin), begin.Add(time.Duration(i)*time.Second), bodyBytes-1)
		}
		ordinary := open("ordinary", begin.Add(3*time.Second))
		read(ordinary, begin.Add(3*time.Second), 500)
		read(open("d", begin), begin.Add(3*time.Second), bodyBytes-1)
		Expect(given).To(Equal(map[string]Cause{"a": Memory}))
		Expect(ordinary.Serve(begin.Add(3 * time.Second))).To(BeTrue())
	})

	It("gives up none whose request is whole, and carries out none that it gave up", func() {
		whole := make([]*Account, 4)
		for i := range whole {
			whole[i] = open("whole", begin)
			read(whole[i], begin, bodyBytes-8192)
			Expect(whole[i].Serve(begin)).To(BeTrue())
		}
		late := open("late", begin)
		read(late, begin.Add(time.Second), bodyBytes)
		Expect(given).To(Equal(map[string]Cause{"late": Memory}))
		Expect(late.Serve(begin.Add(time.Second))).To(BeFalse())
	})

	It("gives up connections that only wait when all places are used, and has none while all are served", func() {
		for range 8 {
			open("waits", begin)
		}
		fresh := open("fresh", begin.Add(time.Second))
		Expect(given).To(Equal(map[string]Cause{"waits": Connections}))
		Expect(places.Connections()).To(BeNumerically("<=", 8))
		Expect(fresh.Serve(begin)).To(BeTrue())
		for places.Connections() < 8 {
			Expect(open("served", begin.Add(time.Second)).Serve(begin)).To(BeTrue())
		}
		places.accounts.Range(func(_ string, a *Account) bool { a.Serve(begin); return true })
		_, ok := places.Open(begin, nil)
		Expect(ok).To(BeFalse())
		Eventually(places.Freed()).Should(Receive()) // of those given up above
		fresh.Done(begin.Add(time.Second))
		Expect(places.Freed()).To(Receive())
		_, ok = places.Open(begin.Add(2*time.Second), nil)
		Expect(ok).To(BeTrue())
	})

	It("bounds each phase of a request in time, but not the serving", func() {
		a := open("a", begin)
		expect := func(at time.Time, late Cause) {
			GinkgoHelper()
			deadline, cause := a.Deadline(limits)
			Expect(deadline).To(Equal(at))
			Expect(cause).To(Equal(late))
		}
		expect(begin.Add(limits.IdleTime), Idle)
		first := begin.Add(time.Second)
		a.Received(first, 1, limits)
		a.Received(first.Add(time.Second), 1, limits)
		expect(first.Add(limits.HeadTime), HeadTooSlow)
		a.BeginBody(first)
		a.BodyRead(first.Add(4*time.Second), MinBodyProgress-1)
		expect(first.Add(BodyStall), BodyTooSlow)
		a.BodyRead(first.Add(4*time.Second), 1)
		expect(first.Add(4*time.Second+BodyStall), BodyTooSlow)
		a.Serve(first.Add(5 * time.Second))
		expect(time.Time{}, None)
		a.Done(first.Add(20 * time.Second))
		expect(first.Add(20*time.Second+limits.IdleTime), Idle)
	})

	It("takes a head of the limit and none beyond what a reader takes in with it", func() {
		Expect(open("a", begin).Received(begin, limits.HeadBytes, limits)).To(Equal(None))
		Expect(open("b", begin).Received(begin, limits.HeadBytes+headSlack+1, limits)).To(Equal(HeadTooLarge))
	})

	It("holds nothing once all are closed, whatever they did", func() {
		random := rand.New(rand.NewPCG(51, 1))
		for range 200 {
			accounts := make([]*Account, 12)
			for i := range accounts {
				accounts[i] = open("x", begin)
			}
			for range 100 {
				a := accounts[random.IntN(len(accounts))]
				switch random.IntN(6) {
				case 0:
					a.Received(begin, random.IntN(4096), limits)
				case 1:
					a.BeginBody(begin)
				case 2:
					a.BodyRead(begin, random.IntN(bodyBytes))
				case 3:
					a.Serve(begin)
				case 4:
					a.Done(begin)
				case 5:
					a.Close()
				}
				budget.Relieve(begin.Add(time.Second))
				Expect(places.Connections()).To(BeNumerically("<=", 8))
			}
			for _, a := range accounts {
				a.Close()
			}
			Expect(budget.Held()).To(BeZero())
			Expect(places.Connections()).To(BeZero())
		}
	})

	It("leaves most descriptors of a machine to calls of its own", func() {
		m := Machine{MemoryBytes: 184 << 20, Descriptors: 4100}
		Expect(m.Callers() + m.Peers() + 2*m.Side()).To(BeNumerically("<=", 4100*3/4))
		Expect(m.Bytes()).To(BeNumerically(">", 64*bodyBytes))
	})
})
