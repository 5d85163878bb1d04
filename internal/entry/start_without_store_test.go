package entry

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/inventory"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/settings"
)

const testKey = "entry-test-peer-key-0123"

var _ = ginkgo.Describe("an entry that starts while the store is down", func() {
	ctx := context.Background()

	ginkgo.It("takes the newest of all live peers, and nothing older before it", func() {
		hold := make(chan struct{})
		newer := &fakePeer{id: "newer", version: 9, source: validDocument(), hold: hold}
		newer.serve(testKey)
		older := &fakePeer{id: "older", version: 5, source: validDocument(), knows: []*fakePeer{newer}}
		older.serve(testKey)
		e, logs := newTestEntry(older.address)
		Expect(e.Ready()).To(MatchError(ContainSubstring("peers.seeds")))
		go func() {
			defer ginkgo.GinkgoRecover()
			Eventually(func() int { return len(e.members.Members()) }).Should(Equal(2))
			close(hold) // the newer answers last
		}()
		e.heartbeatRound(ctx, everyone)
		Expect(e.inForce.Get().Version).To(Equal(configuration.Version(9)))
		Expect(logs.FilterMessage("configuration in force").Len()).To(Equal(1))
		Expect(e.Ready()).To(MatchError(ContainSubstring("list of instances is not known")))
		e.inventory.Update(inventory.List{Stamp: inventory.Stamp{Generation: 1}})
		Expect(e.Ready()).To(Succeed())
	})

	ginkgo.It("leaves a push to the round while it has nothing in force", func() {
		older := &fakePeer{id: "older", version: 5, source: validDocument()}
		older.serve(testKey)
		e, _ := newTestEntry()
		registration := older.registration()
		chasing, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); e.chase(chasing) }()
		answer := e.heartbeatReceived(membershipHeartbeat(older, &registration))
		Expect(answer.UnknownSender).To(BeFalse())
		Consistently(func() configuration.Version { return e.inForce.Get().Version }, "100ms").Should(BeZero())
		e.offer(configuration.Versioned{Version: 4, Configuration: &configuration.Configuration{}})
		e.heartbeatReceived(membershipHeartbeat(older, &registration))
		e.sighted.Update(func(s sighting) (sighting, bool) { return s, true }) // wakes the chase
		Eventually(func() configuration.Version { return e.inForce.Get().Version }).Should(Equal(configuration.Version(5)))
		stop()
		<-done
	})

	ginkgo.It("is not ready when a peer has a newer version that cannot be had", func() {
		broken := &fakePeer{id: "broken", version: 9, source: []byte("colour: green\n")}
		broken.serve(testKey)
		e, _ := newTestEntry(broken.address)
		e.offer(configuration.Versioned{Version: 4, Configuration: &configuration.Configuration{}})
		e.heartbeatRound(ctx, everyone)
		Expect(problem.Is(e.Ready(), problem.Unavailable)).To(BeTrue())
		Expect(e.inForce.Get().Version).To(Equal(configuration.Version(4)))
	})

	ginkgo.It("asks a stranger that heard it to learn where it is", func() {
		e, _ := newTestEntry()
		stranger := &fakePeer{id: "stranger"}
		answer := e.heartbeatReceived(membershipHeartbeat(stranger, nil))
		Expect(answer.UnknownSender).To(BeTrue())
		Expect(e.members.Members()).To(BeEmpty())
	})
})

// newTestEntry returns an entry whose platform nobody serves, with its log.
func newTestEntry(seeds ...string) (*Entry, *observer.ObservedLogs) {
	s := settings.DefaultEntry()
	s.ID, s.AvailabilityZone, s.Platform.Address = "entry-1", "az-1", "http://127.0.0.1:1"
	s.Secrets = settings.Secrets{PeerKey: testKey, OperatorToken: "entry-test-operator-token"}
	s.Peers.Seeds = seeds
	core, logs := observer.New(zapcore.InfoLevel)
	e, err := New(s, clockwork.NewRealClock(), zap.New(core))
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() {
		e.listeners.close()
		e.peers.Close()
		e.platform.Close()
	})
	return e, logs
}

func validDocument() []byte {
	questionnaire := &configuration.Questionnaire{
		Organisation: "Registry",
		Teams:        []configuration.TeamAnswers{{Name: "herders", LateMeans: "harm", People: 10}},
		Services:     []configuration.ServiceAnswers{{Name: "tags", Runners: 8, MayBeAway: 1, AtOncePerRunner: 8, Connections: 64, AnswerWithin: 2e9}},
	}
	source, err := configfile.Render(configuration.Generate(questionnaire))
	Expect(err).NotTo(HaveOccurred())
	return source
}
