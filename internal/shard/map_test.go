package shard

import (
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Map", func() {
	It("holds a value until it is deleted", func() {
		m := NewMapOf[string, int](4)
		m.Set("a", 1)
		m.Set("b", 2)
		Expect(m.Len()).To(Equal(2))
		old, ok := m.Delete("a")
		Expect(ok).To(BeTrue())
		Expect(old).To(Equal(1))
		_, ok = m.Get("a")
		Expect(ok).To(BeFalse())
	})

	It("creates a value once", func() {
		m := NewMap[string, *int]()
		created := 0
		create := func() *int { created++; return new(int) }
		first := m.GetOrCreate("a", create)
		Expect(m.GetOrCreate("a", create)).To(BeIdenticalTo(first))
		Expect(created).To(Equal(1))
	})

	It("removes a key whose update returns keep as false", func() {
		m := NewMap[string, int]()
		m.Set("a", 1)
		m.Update("a", func(old int, ok bool) (int, bool) { return old + 1, ok })
		value, _ := m.Get("a")
		Expect(value).To(Equal(2))
		m.Update("a", func(int, bool) (int, bool) { return 0, false })
		Expect(m.Len()).To(BeZero())
	})

	It("loses no update by concurrent goroutines", func() {
		const goroutines, keys, rounds = 8, 16, 500
		m := NewMapOf[string, int](3)
		var running sync.WaitGroup
		for range goroutines {
			running.Go(func() {
				for i := range rounds * keys {
					m.Update(strconv.Itoa(i%keys), func(n int, _ bool) (int, bool) { return n + 1, true })
				}
			})
		}
		running.Wait()
		m.Range(func(key string, n int) bool {
			Expect(n).To(Equal(goroutines*rounds), key)
			return true
		})
	})

	It("takes a consistent snapshot of all shards", func() {
		// One goroutine sets "a" and then "b", in different shards, so "b" is never
		// ahead in a consistent state.
		m := NewMapOf[string, int](8)
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			for i := 1; !closed(stop); i++ {
				m.Set("a", i)
				m.Set("b", i)
			}
		}()
		for range 200 {
			seen := map[string]int{}
			m.Snapshot(func() {}, func(key string, n int) { seen[key] = n })
			Expect(seen["a"] - seen["b"]).To(BeNumerically("<=", 1))
			Expect(seen["a"] - seen["b"]).To(BeNumerically(">=", 0))
		}
		close(stop)
		<-done
	})
})

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
