package jobstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/problem"
	standin "persimmonbay/internal/standin/platform"
)

// add adds or replaces jobs in shard 7, whatever their IDs.
func add(ctx context.Context, s *jobstore.Store, jobs ...placement.Job) error {
	return s.Update(ctx, 7, func(old jobstore.Shard) (jobstore.Shard, bool, error) { return old.With(jobs...), true, nil })
}

var _ = Describe("a shard of jobs", func() {
	ctx := context.Background()

	It("retains all jobs that have not ended, and the 50 that ended last", func() {
		s := jobstore.New(standin.NewStore(clockwork.NewFakeClock()))
		for i := range 200 {
			j := placement.Job{ID: fmt.Sprintf("job-%03d", i), Phase: placement.Finished, Since: time.Unix(int64(i), 0).UTC()}
			if i%2 == 0 {
				j.Phase = placement.Queued
			}
			Expect(add(ctx, s, j)).To(Succeed())
		}
		shard, err := s.Load(ctx, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(shard.Jobs).To(HaveLen(150))
		_, dropped := shard.Find("job-099")
		_, retained := shard.Find("job-101")
		Expect(dropped).To(BeFalse())
		Expect(retained).To(BeTrue())
	})

	It("refuses additional jobs beyond its size limit, but accepts changes of those it holds", func() {
		s := jobstore.New(standin.NewStore(clockwork.NewFakeClock()))
		var err error
		n := 0
		for err == nil {
			var jobs []placement.Job
			for range 20 {
				jobs = append(jobs, placement.Job{ID: fmt.Sprintf("job-%04d", n), Phase: placement.Queued, Work: strings.Repeat("x", 4000)})
				n++
			}
			err = add(ctx, s, jobs...)
		}
		Expect(problem.Is(err, problem.Overloaded)).To(BeTrue(), "%v", err)
		shard, err := s.Load(ctx, 7)
		Expect(err).NotTo(HaveOccurred())
		encoded, err := json.Marshal(shard)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(encoded)).To(BeNumerically("<", 1<<20))
		Expect(add(ctx, s, placement.Job{ID: "job-0000", Phase: placement.Cancelled, Detail: strings.Repeat("y", 4000)})).To(Succeed())
	})

	It("applies all of several concurrent changes", func() {
		s := jobstore.New(standin.NewStore(clockwork.NewFakeClock()))
		errs := make(chan error, 8)
		for i := range 8 {
			go func() { errs <- add(ctx, s, placement.Job{ID: fmt.Sprint(i), Phase: placement.Queued}) }()
		}
		for range 8 {
			Expect(<-errs).To(Succeed())
		}
		shard, err := s.Load(ctx, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(shard.Jobs).To(HaveLen(8))
	})
})
