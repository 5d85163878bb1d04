package shard

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Cell", func() {
	It("closes the channel at a change", func() {
		c := NewCell(1)
		value, changed := c.Watch()
		Expect(value).To(Equal(1))
		Expect(changed).NotTo(BeClosed())
		Expect(c.Update(func(old int) (int, bool) { return old + 1, true })).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(c.Get()).To(Equal(2))
	})

	It("leaves the channel open when nothing changed", func() {
		c := NewCell(1)
		_, changed := c.Watch()
		Expect(c.Update(func(int) (int, bool) { return 9, false })).To(BeFalse())
		Expect(changed).NotTo(BeClosed())
		Expect(c.Get()).To(Equal(1))
	})
})
