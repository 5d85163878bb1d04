package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"persimmonbay/internal/problem"
)

// nonceBytes is the size of each side's challenge.
const nonceBytes = 32

// handshakeTimeout bounds the proof of the key.
const handshakeTimeout = 2 * time.Second

// The roles keep one side's proof from serving as the other's.
const (
	roleDialer   = "persimmonbay dialer"
	roleListener = "persimmonbay listener"
)

// handshake proves the key to the other side of c and has it prove the same.
func handshake(c net.Conn, key []byte, mine, theirs string) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	var sent, received [nonceBytes]byte
	if _, err := rand.Read(sent[:]); err != nil {
		return err
	}
	if err := swap(c, sent[:], received[:]); err != nil {
		return err
	}
	var proof [sha256.Size]byte
	if err := swap(c, prove(key, mine, received[:], sent[:]), proof[:]); err != nil {
		return err
	}
	if !hmac.Equal(proof[:], prove(key, theirs, sent[:], received[:])) {
		return problem.New(problem.Unauthorized, problem.StepAuthorize, c.RemoteAddr().String(), "the peer does not hold the peerKey of these settings")
	}
	return c.SetDeadline(time.Time{})
}

func swap(c net.Conn, out, in []byte) error {
	if _, err := c.Write(out); err != nil {
		return err
	}
	_, err := io.ReadFull(c, in)
	return err
}

// prove binds the key to a role, the other side's challenge and one's own.
func prove(key []byte, role string, challenge, own []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(challenge)
	mac.Write(own)
	return mac.Sum(nil)
}
