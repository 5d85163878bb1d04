package latecalls

import (
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	sceneSeed     = 1
	sceneDowntime = 100 * time.Millisecond
	longTask      = 12 * time.Second
	shortTask     = 300 * time.Millisecond
	// beforeLapse is a little shorter than the lease that an owner asks for.
	beforeLapse = 4200 * time.Millisecond
	// outlastsTakeOver is a second longer than an owner waits for the runs of one that was
	// killed, and a little shorter than beforeLapse with the longest lease.
	outlastsTakeOver = 9800 * time.Millisecond
	sceneWait        = 15 * time.Second // longer than a next owner waits for leases
	// ownerSettles is longer than an earlier owner may send orders, by what a new one knows.
	// Its successor reckons with that too if it leaves before.
	ownerSettles = 2500 * time.Millisecond
)

// scene is a play with a fixed course: the pool has one worker, and gets a second one when
// the first one is cut off.
type scene struct {
	*play
	suspect *worker
}

func newScene(c *class) *scene {
	GinkgoHelper()
	s := &scene{play: newPlay(c, sceneSeed, GinkgoT().TempDir())}
	DeferCleanup(func() {
		s.end()
		if folder := os.Getenv(tracesVariable); folder != "" {
			s.save(folder, CurrentSpecReport().LeafNodeText)
		}
	})
	s.begin(1)
	s.suspect = s.workers[0]
	return s
}

// submit hands in a job and returns the name of its first task.
func (s *scene) submit(id string, tasks int, took time.Duration) string {
	GinkgoHelper()
	Eventually(func() int { return s.entries[0].post(queuePrefix+id, jobBody(tasks, took), callerPatience) }).WithTimeout(sceneWait).Should(Equal(http.StatusOK))
	return id + ".0.0.0"
}

// awaitRun waits until the task runs on an incarnation of a worker.
func (s *scene) awaitRun(task string, w *worker, incarnation int) {
	GinkgoHelper()
	s.awaitRuns(task, func(r *taskRun) bool { return r.worker == w.id && r.incarnation == incarnation && r.endedAt.IsZero() })
}

// awaitRuns waits until a run of the task matches.
func (s *scene) awaitRuns(task string, matches func(r *taskRun) bool) {
	GinkgoHelper()
	Eventually(func() bool { return s.some(task, matches) }).WithTimeout(sceneWait).WithPolling(time.Millisecond).Should(BeTrue(), s.record.text)
}

// some reports whether a run of the task matches.
func (s *scene) some(task string, matches func(r *taskRun) bool) bool {
	runs := s.ledger.runsOf(task)
	for i := range runs {
		if matches(&runs[i]) {
			return true
		}
	}
	return false
}

// awaitStarts waits until the task has started so often.
func (s *scene) awaitStarts(task string, count int) {
	GinkgoHelper()
	Eventually(func() []taskRun { return s.ledger.runsOf(task) }).WithTimeout(sceneWait).Should(HaveLen(count), s.record.text)
}

// cutOff cuts the worker off, and adds another one to the pool.
func (s *scene) cutOff() {
	s.suspect.setCut(true)
	s.addWorker().join()
}

// awaitSecondRun waits until the task has started twice, or the longest lease that its owner
// may reckon with has been over for long.
func (s *scene) awaitSecondRun(task string) {
	for end := time.Now().Add(maxRunLease + minLateness); time.Now().Before(end) && len(s.ledger.runsOf(task)) < 2; {
		time.Sleep(sceneDowntime / 10)
	}
}

// expectNoneTwice checks the rule.
func (s *scene) expectNoneTwice() {
	GinkgoHelper()
	if found := s.ledger.violations(); len(found) > 0 {
		Fail(s.report(found) + "\n" + s.record.text())
	}
}
