package peer

import (
	"bytes"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// FuzzHandshake checks that the handshake accepts no bytes from a peer without
// the key, not even this side's own bytes sent back.
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
			attack(theirs, sent, reflect)
		}()
		err := handshake(mine, testKey, roleListener, roleDialer)
		_ = mine.Close()
		<-ended
		g.Expect(err).To(HaveOccurred())
	})
}

// attack acts as a peer without the key: it sends the bytes of sent and, if
// reflect is set, sends back whatever it receives, the challenge first.
func attack(c net.Conn, sent []byte, reflect bool) {
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
