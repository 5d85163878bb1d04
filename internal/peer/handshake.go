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

// nonceBytes is the size of the random challenge that each side sends.
const nonceBytes = 32

// handshakeTimeout bounds the whole handshake.
const handshakeTimeout = 2 * time.Second

// Each side's proof covers its role, so that a proof cannot be sent back to the
// side that made it.
const (
	roleDialer   = "persimmonbay dialer"
	roleListener = "persimmonbay listener"
)

// handshake authenticates both sides of c: it proves that this side has key and
// verifies the peer's proof. It returns an error of kind Unauthorized if that
// proof is wrong.
func handshake(c net.Conn, key []byte, localRole, remoteRole string) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	var sent, received [nonceBytes]byte
	if _, err := rand.Read(sent[:]); err != nil {
		return err
	}
	if err := sendAndReceive(c, sent[:], received[:]); err != nil {
		return err
	}
	var proof [sha256.Size]byte
	if err := sendAndReceive(c, prove(key, localRole, received[:], sent[:]), proof[:]); err != nil {
		return err
	}
	if !hmac.Equal(proof[:], prove(key, remoteRole, sent[:], received[:])) {
		return problem.New(problem.Unauthorized, problem.StepAuthorize, c.RemoteAddr().String(), "the peer did not prove that it has the peerKey of these settings")
	}
	return c.SetDeadline(time.Time{})
}

// sendAndReceive writes out and then fills in from the peer.
func sendAndReceive(c net.Conn, out, in []byte) error {
	if _, err := c.Write(out); err != nil {
		return err
	}
	_, err := io.ReadFull(c, in)
	return err
}

// prove returns an HMAC under key of the prover's role, the challenge that it
// received and the one that it sent (own).
func prove(key []byte, role string, challenge, own []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(challenge)
	mac.Write(own)
	return mac.Sum(nil)
}
