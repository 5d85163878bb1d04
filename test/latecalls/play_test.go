package latecalls

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

const (
	entryCount  = 3
	workerCount = 10
	startTime   = 15 * time.Second // in which the entries get ready and one owns the pool
	settleTime  = 1500 * time.Millisecond
)

// play is one run of three entries against workers that restart and lose calls.
type play struct {
	class   *class
	seed    uint64
	random  *rand.Rand
	record  *record
	ledger  *ledger
	store   *store
	workers []*worker
	entries []*entry
	server  *http.Server // of the store
	folder  string       // of settings and logs
}

func newPlay(class *class, seed uint64, folder string) *play {
	r := newRecord()
	return &play{class: class, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), record: r, ledger: newLedger(r), store: newStore(), folder: folder}
}

// begin starts the workers and the entries, and waits until one of these owns the pool.
func (p *play) begin(workers int) {
	p.store.put("op/config", configuration())
	for range workers {
		p.addWorker().join()
	}
	var address string
	address, p.server = serve(p.store.handler())
	for n := range entryCount {
		e := newEntry(fmt.Sprintf("edge-%d", n+1), p.folder, address, p.record)
		p.entries = append(p.entries, e)
		e.start()
	}
	for _, e := range p.entries {
		Eventually(e.ready).WithTimeout(startTime).Should(BeTrue(), "%s is not ready", e.name)
	}
	Eventually(p.store.owner).WithTimeout(startTime).ShouldNot(BeEmpty())
}

// addWorker starts a worker that the pool does not have yet.
func (p *play) addWorker() *worker {
	w := newWorker(fmt.Sprintf("i-%d", len(p.workers)), p.class, p.random.Uint64(), p.store, p.ledger, p.record)
	p.workers = append(p.workers, w)
	return w
}

// end ends all that begin started.
func (p *play) end() {
	for _, e := range p.entries {
		<-e.signal(syscall.SIGKILL)
	}
	_ = p.server.Close() // ends its connections
	for _, w := range p.workers {
		w.close()
	}
}

// run plays random rounds for the given time and returns what breaks the rule.
func (p *play) run(duration time.Duration) []violation {
	defer p.end()
	p.begin(workerCount)
	c := &callers{entries: p.entries, record: p.record, random: rand.New(rand.NewPCG(p.seed, 2)), stop: make(chan struct{})}
	c.wait.Add(1)
	go c.run()
	time.Sleep(settleTime)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		p.round()
	}
	close(c.stop)
	c.wait.Wait()
	return p.ledger.violations()
}

// Times of a round.
const (
	minFirstCalls = time.Second // from the first call that may get lost to the restarts
	maxFirstCalls = 4 * time.Second
	minLosses     = time.Second // for which calls may get lost
	maxLosses     = 6 * time.Second
	minDowntime   = 20 * time.Millisecond
	maxBeforeHit  = 2 * time.Second // from the restarts to the disruption of the owner
	maxBeforeCut  = 2700 * time.Millisecond
	minCut        = 6 * time.Second
	maxCut        = 9 * time.Second
	minAway       = 500 * time.Millisecond // of a disrupted owner
	maxAway       = 5 * time.Second
)

// between returns a random time from shortest to longest.
func (p *play) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(p.random.Int64N(int64(longest-shortest)))
}

// round has half of the workers lose calls, restart and be cut off, and disrupts the owner
// in between.
func (p *play) round() {
	group := make([]*worker, 0, len(p.workers)/2)
	for _, n := range p.random.Perm(len(p.workers))[:len(p.workers)/2] {
		group = append(group, p.workers[n])
	}
	var wait sync.WaitGroup
	after := func(d time.Duration, act func()) {
		wait.Add(1)
		time.AfterFunc(d, func() {
			defer wait.Done()
			act()
		})
	}
	each := func(act func(w *worker)) func() {
		return func() {
			for _, w := range group {
				act(w)
			}
		}
	}
	restartAt, downtime := p.between(minFirstCalls, maxFirstCalls), p.between(minDowntime, p.class.MaxDowntime)
	cutAt := restartAt + downtime + p.between(0, maxBeforeCut)
	hitAt := restartAt + p.between(0, maxBeforeHit)
	hit, away := p.class.Disruptions[p.random.IntN(len(p.class.Disruptions))], p.between(minAway, maxAway)
	p.record.note("round: restarts in %.2f s for %.2f s, cut in %.2f s, disruption %s in %.2f s for %.2f s", restartAt.Seconds(), downtime.Seconds(), cutAt.Seconds(), hit, hitAt.Seconds(), away.Seconds())
	after(0, each(func(w *worker) { w.setLosing(true) }))
	after(p.between(minLosses, maxLosses), each(func(w *worker) { w.setLosing(false) }))
	for _, w := range group {
		listedAfter := p.between(0, listedAgainAfter)
		after(restartAt, func() { w.restart(downtime, listedAfter) })
	}
	healAt := cutAt + p.between(minCut, maxCut)
	for _, w := range group {
		after(cutAt, func() { w.setCut(true) })
		after(healAt, func() { w.setCut(false) })
	}
	after(hitAt, func() { p.disruptOwner(hit, away) })
	wait.Wait()
	time.Sleep(settleTime)
}

func (p *play) disruptOwner(d disruption, away time.Duration) {
	if owner := p.owner(); owner != nil {
		p.record.note("disruption %s of %s", d, owner.name)
		owner.disrupt(d, away)
	}
}

// owner returns the entry that owns the pool; nil: none.
func (p *play) owner() *entry {
	name := p.store.owner()
	for _, e := range p.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// save writes the record and the entries' logs to a folder.
func (p *play) save(folder, text string) {
	name := fmt.Sprintf("%s-%d", p.class.Name, p.seed)
	Expect(os.WriteFile(filepath.Join(folder, name+".txt"), []byte(text+"\n"+p.record.text()), 0o600)).To(Succeed())
	for _, e := range p.entries {
		log, err := os.ReadFile(e.log)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(folder, name+"-"+e.name+".log"), log, 0o600)).To(Succeed())
	}
}

// report returns the violations, each with what the record says of its task.
func (p *play) report(found []violation) string {
	text := fmt.Sprintf("%s, seed %d: %d pairs of runs break the rule TWICE; %s", p.class.Name, p.seed, len(found), p.ledger.summary())
	for i := range found {
		text += "\n" + p.ledger.describe(&found[i])
		for _, line := range p.record.containing(found[i].first.task + " ") {
			text += "\n    " + line
		}
	}
	return text
}
