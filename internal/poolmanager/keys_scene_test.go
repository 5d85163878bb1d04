package poolmanager

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/identity"
	"persimmonbay/internal/keycheck"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// keyScene is one entry in virtual time, whose keys change and whose way to the store fails.
// It calls its own store: as time passes in a watch, callers come.
type keyScene struct {
	fakeOperators
	*fakeStore
	now      time.Duration
	versions []time.Duration          // when each version was stored
	added    map[string]time.Duration // keys
	removed  map[string]time.Duration
	down     func(watch bool) bool // the store gives no answer to a call that is sent now
	transit  func() time.Duration  // of an answer
	freezes  map[time.Duration]func()
	manager  *Manager
	watch    *watcher
	from     int64
	checker  *keycheck.Checker
	calls    map[time.Duration]string // keys, by the time at which they were sent
	got      map[string][]identity.Outcome
}

const (
	keyTick      = 10 * time.Millisecond
	revokeWithin = 5 * time.Second
)

func newKeyScene() *keyScene {
	s := &keyScene{
		fakeStore: newFakeStore(), now: time.Minute, down: func(bool) bool { return false }, transit: func() time.Duration { return keyTick }, freezes: map[time.Duration]func(){}, calls: map[time.Duration]string{},
		added: map[string]time.Duration{"old": 0, "kept": 0}, removed: map[string]time.Duration{}, got: map[string][]identity.Outcome{}, versions: []time.Duration{0},
	}
	s.restart()
	return s
}

func (s *keyScene) restart() {
	config, boot := poolconfig.NewInForce(), func() time.Duration { return s.now }
	policy := identity.Policy{FailClosed: true, RevokeWithin: revokeWithin}
	timing := Timing{WatchWait: time.Second, StoreTimeout: 900 * time.Millisecond, ConfirmAfter: policy.ConfirmAfter()}
	s.manager = New("node-1", "", 1, Dependencies{Store: s, Operators: s, Clock: clockwork.NewFakeClock(), SinceBoot: boot, Log: zap.NewNop(), Metrics: telemetry.NewMetrics()}, timing, config)
	s.manager.reader.pause = func(d time.Duration) { s.pass(d, false) }
	s.checker = keycheck.New(policy, config, uncutReader{s.manager}, boot, zap.NewNop())
	s.watch, s.from = s.manager.operatorsWatcher(), 0
}

func (s *keyScene) change(add, remove string) {
	s.versions = append(s.versions, s.now)
	if add != "" {
		s.added[add] = s.now
	}
	if remove != "" {
		s.removed[remove] = s.now
	}
}

// Configuration decodes a version and its keys.
func (s *keyScene) Configuration(item store.Item) (*poolconfig.Configuration, error) {
	c := &poolconfig.Configuration{Version: item.Revision, Queues: []poolconfig.Queue{{Name: "q", Host: "h", Prefix: "/"}}, Teams: []poolconfig.Team{{Name: "t"}}}
	for key := range strings.FieldsSeq(string(item.Value)) {
		c.Teams[0].Keys = append(c.Teams[0].Keys, poolconfig.NewKeyDigest(key))
	}
	return c, nil
}

func (s *keyScene) stored() store.Item {
	item := store.Item{Key: s.ConfigurationKey(), Revision: int64(len(s.versions))}
	for key := range s.added {
		if _, gone := s.removed[key]; !gone {
			item.Value = append(item.Value, key+" "...)
		}
	}
	return item
}

// unanswered lets a call to the store that gets no answer time out.
func (s *keyScene) unanswered(watch bool, wait time.Duration) error {
	if !s.down(watch) {
		return nil
	}
	s.pass(wait+900*time.Millisecond, watch)
	return problem.New(problem.Timeout, problem.StepStoreRead, "", "no answer")
}

// read returns what is stored now, after the transit of the answer.
func (s *keyScene) read() (store.Item, error) {
	if err := s.unanswered(false, 0); err != nil {
		return store.Item{}, err
	}
	item := s.stored()
	s.pass(s.transit(), false)
	return item, nil
}

// Get implements store.Store.
func (s *keyScene) Get(context.Context, string) (store.Item, error) {
	return s.read()
}

// RangePage implements store.Store.
func (s *keyScene) RangePage(context.Context, string, string) (store.Page, error) {
	item, err := s.read()
	return store.Page{Items: []store.Item{item}, Revision: item.Revision}, err
}

// Watch implements store.Store.
func (s *keyScene) Watch(_ context.Context, _ string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if err := s.unanswered(true, wait); err != nil {
		return nil, 0, err
	}
	for end := s.now + wait; s.now < end; s.pass(keyTick, true) {
		if item := s.stored(); item.Revision > after {
			s.pass(s.transit(), true)
			return []store.Event{{Item: item}}, item.Revision, nil
		}
	}
	s.pass(s.transit(), true)
	return nil, after, nil
}

// pass lets time pass; callers are served meanwhile unless the entry reads beside the watch.
func (s *keyScene) pass(d time.Duration, serve bool) {
	for end := s.now + d; s.now < end; {
		s.now += keyTick
		if freeze := s.freezes[s.now]; freeze != nil {
			delete(s.freezes, s.now)
			freeze()
		}
		for at := range s.calls {
			if serve && at <= s.now {
				s.call(at)
			}
		}
		if serve && s.manager.confirmIn() <= 0 {
			_ = s.manager.ReadConfiguration(context.Background())
		}
	}
}

// call serves the call that was sent at a time, and checks what must hold of each.
func (s *keyScene) call(sent time.Duration) {
	key := s.calls[sent]
	delete(s.calls, sent)
	digest := poolconfig.NewKeyDigest(key)
	arrived := s.now
	outcome := s.checker.Check(context.Background(), identity.Call{Host: "h", Path: "/", Key: &digest}).Outcome
	s.got[key] = append(s.got[key], outcome)
	added, held := s.added[key]
	removed, gone := s.removed[key]
	what := fmt.Sprintf("%s: %s, sent at %s, judged at %s", key, outcome, sent, s.now)
	if outcome == identity.Admitted {
		Expect(held && (!gone || sent < removed+revokeWithin)).To(BeTrue(), what)
	}
	if outcome == identity.UnknownKey {
		Expect(held && !gone && added < arrived).To(BeFalse(), what)
	}
}

// run lets the entry watch for d.
func (s *keyScene) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		if next, err := s.watch.step(context.Background(), s.from); err == nil {
			s.from = next
		}
		s.pass(keyTick, true)
	}
}

// callEach sends a call with key each 0.1 s for d from now.
func (s *keyScene) callEach(key string, d time.Duration) {
	for at := s.now; at < s.now+d; at += 100 * time.Millisecond {
		s.calls[at+time.Duration(len(key))] = key
	}
}
