package poolstore_test

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/upkeep"
)

// record returns a record with the given fields, by number.
func record(fields map[int]any) []byte {
	data, err := cbor.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// jobWith returns the record of a job with one step, with the given fields of the job
// and of the step replaced.
func jobWith(job, step map[int]any) []byte {
	s := map[int]any{1: 2, 2: 1000, 3: 100, 5: 100}
	for k, v := range step {
		s[k] = v
	}
	j := map[int]any{1: "checks", 2: "100", 3: []any{s}, 9: 1.6, 10: 600}
	for k, v := range job {
		j[k] = v
	}
	return record(j)
}

var _ = Describe("an invalid record", func() {
	// An unknown state made the process panic when it was logged.
	It("is refused as the progress of a job", func() {
		for _, state := range []int{5, 200, 255} {
			_, err := poolstore.DecodeState("state/tags/j", record(map[int]any{1: state}))
			Expect(problem.Is(err, problem.Internal)).To(BeTrue(), fmt.Sprint(state))
			Expect(scheduler.JobState(state).String()).NotTo(BeEmpty())
		}
	})

	// Such a job used unlimited memory when it was due, or its times and needs
	// overflowed in the arithmetic of the pool.
	It("is refused as a job", func() {
		many := make([]any, scheduler.MaxSteps+1)
		for i := range many {
			many[i] = map[int]any{1: 1}
		}
		invalid := map[string][]byte{
			"no steps": jobWith(map[int]any{3: []any{}}, nil), "many steps": jobWith(map[int]any{3: many}, nil),
			"repeated for ever": jobWith(map[int]any{5: math.MaxInt64}, nil), "repeated too often": jobWith(map[int]any{5: 1 << 30}, nil),
			"last one too late": jobWith(map[int]any{4: 1, 5: 1000, 6: int64(math.MaxInt64)}, nil), "interval below zero": jobWith(map[int]any{6: -1}, nil),
			"stretch no number": jobWith(map[int]any{9: math.NaN()}, nil), "stretch infinite": jobWith(map[int]any{9: math.Inf(1)}, nil), "stretch below zero": jobWith(map[int]any{9: -1}, nil),
			"objective too long": jobWith(map[int]any{10: int64(math.MaxInt64)}, nil),
		}
		for i, count := range []int64{0, -1, 1 << 40, math.MaxInt64} {
			invalid[fmt.Sprint("count ", i)] = jobWith(nil, map[int]any{1: count})
		}
		for _, field := range []int{2, 3, 4, 5} {
			invalid[fmt.Sprint("below zero ", field)] = jobWith(nil, map[int]any{field: -1})
			invalid[fmt.Sprint("too much ", field)] = jobWith(nil, map[int]any{field: int64(math.MaxInt64)})
		}
		for i, after := range []int{-1, 0, 1, math.MaxInt64} {
			invalid[fmt.Sprint("after ", i)] = jobWith(nil, map[int]any{6: []int{after}})
		}
		var accepted []string
		for shape, data := range invalid {
			if _, err := poolstore.DecodeJob("tags", "j", data); !problem.Is(err, problem.Internal) {
				accepted = append(accepted, shape)
			}
		}
		Expect(accepted).To(BeEmpty())
		_, err := poolstore.DecodeJob("tags", "j", jobWith(nil, nil))
		Expect(err).NotTo(HaveOccurred())
	})

	// Such a weight assigned all pools to one entry, or none.
	It("is refused as the weight of an entry, whose address is still returned", func() {
		for _, weight := range []any{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
			address, decoded, err := poolstore.DecodeMember("fleet/member/e", record(map[int]any{1: "10.0.0.1:1", 2: weight}))
			Expect(problem.Is(err, problem.Internal)).To(BeTrue(), fmt.Sprint(weight))
			Expect(address).To(Equal("10.0.0.1:1"))
			Expect(decoded).To(BeZero())
		}
	})

	// Such a number made a pool give up all machines, or overflowed.
	It("is refused as a number of machines", func() {
		for _, n := range []string{"", "x", "-1", "9223372036854775807", "99999999999999999999", "1e3"} {
			_, err := poolstore.DecodeCount("duty/need/tags", []byte(n))
			Expect(problem.Is(err, problem.Internal)).To(BeTrue(), n)
		}
		for _, n := range []int64{-1, math.MaxInt64, math.MinInt64} {
			data, err := cbor.Marshal(map[string]int64{"tags": n})
			Expect(err).NotTo(HaveOccurred())
			_, err = poolstore.DecodeOwnMachines("fleet/home", data)
			Expect(problem.Is(err, problem.Internal)).To(BeTrue(), fmt.Sprint(n))
		}
	})

	// A time of 2^63 ms overflowed: the machine was never emptied.
	It("is refused as a request to empty a machine", func() {
		for _, by := range []int64{math.MaxInt64, math.MinInt64, -1, 0} {
			_, err := poolstore.DecodeEmptyRequest("asked/empty/m", record(map[int]any{1: by}))
			Expect(problem.Is(err, problem.Internal)).To(BeTrue(), fmt.Sprint(by))
		}
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		request := upkeep.EmptyRequest{Pool: "tags", Worker: "w", By: now, Emptied: true}
		data, err := poolstore.EncodeEmptyRequest(&request)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := poolstore.DecodeEmptyRequest("asked/empty/m", data)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.By.Equal(now)).To(BeTrue())
		decoded.By = now
		Expect(decoded).To(Equal(request))
	})

	// Null fields became nil maps; a write to one made the process panic.
	It("is refused as the progress of a wave, or has maps that can be written to", func() {
		for field := range 5 {
			p, err := poolstore.DecodeUpkeep("upkeep/1", record(map[int]any{field + 1: nil}))
			if err == nil {
				p.Ordered["m"], p.OrderedAt["m"], p.Confirmed["m"], p.Done["m"] = "w", time.Time{}, true, true
			}
		}
	})
})
