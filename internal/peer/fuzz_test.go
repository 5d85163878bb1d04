package peer

import (
	"bytes"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// FuzzHandshake holds that no bytes of a stranger pass for the proof of the
// key, not even one's own bytes sent back.
func FuzzHandshake(f *testing.F) {
	f.Add([]byte{}, false)
	f.Add(bytes.Repeat([]byte{0}, nonceBytes), false)
	f.Add(bytes.Repeat([]byte{0}, 2*nonceBytes), false)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), false)
	f.Add([]byte{}, true)
	f.Fuzz(func(t *testing.T, sent []byte, reflect bool) {
		g := NewWithT(t)
		mine, theirs := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			stranger(theirs, sent, reflect)
		}()
		err := handshake(mine, testKey, roleListener, roleDialer)
		_ = mine.Close()
		<-ended
		g.Expect(err).To(HaveOccurred())
	})
}

// stranger sends what it is given, and then either what it receives or
// nothing.
func stranger(c net.Conn, sent []byte, reflect bool) {
	defer c.Close()
	challenge := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, challenge); err != nil {
		return
	}
	if reflect {
		sent = append(challenge, sent...)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(sent)
		if reflect {
			_, _ = io.Copy(c, c)
		}
		_ = c.Close()
	}()
	if !reflect {
		_, _ = io.Copy(io.Discard, c)
	}
	<-written
}
