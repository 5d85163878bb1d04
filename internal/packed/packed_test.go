package packed

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

// FuzzUnpack checks that Unpack handles any bytes without panic, reverses Pack,
// and returns an uncompressed document unchanged.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte("organisation: Registry\n"))
	f.Add([]byte{})
	f.Add([]byte{0x1f, 0x8b})
	f.Add(Pack([]byte("organisation: Registry\n")))
	f.Add(Pack([]byte("organisation: Registry\n"))[:20])
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		document, err := Unpack(Pack(data))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Equal(document, data)).To(BeTrue())
		document, err = Unpack(data)
		if !bytes.HasPrefix(data, magic) {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(document).To(Equal(data))
		}
	})
}

// TestUnpackBounds checks that a small compressed message cannot expand beyond
// maxBytes.
func TestUnpackBounds(t *testing.T) {
	g := NewWithT(t)
	_, err := Unpack(Pack(make([]byte, maxBytes+1)))
	g.Expect(err).To(HaveOccurred())
	_, err = Unpack(Pack(make([]byte, maxBytes)))
	g.Expect(err).NotTo(HaveOccurred())
}
