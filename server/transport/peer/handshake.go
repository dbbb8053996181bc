package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// protocolMagic starts every connection; its last byte is the protocol version.
const protocolMagic = "WGTL\x02"

// nonceBytes is the size of the challenge that each end sends.
const nonceBytes = 32

// ErrCredential means that the other end has another cluster name or credential.
var ErrCredential = errors.New("cluster name or credential differs")

func proof(c Credential, role string, first, second []byte) []byte {
	mac := hmac.New(sha256.New, c.Secret)
	fmt.Fprintf(mac, "%s\x00%d\x00%s\x00", role, len(c.Cluster), c.Cluster)
	mac.Write(first)
	mac.Write(second)
	return mac.Sum(nil)
}

// acceptHandshake challenges a client. It reads a fixed number of bytes only.
func acceptHandshake(conn net.Conn, c Credential, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	challenge := make([]byte, nonceBytes)
	rand.Read(challenge)
	if _, err := conn.Write(append([]byte(protocolMagic), challenge...)); err != nil {
		return err
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	nonce := answer[:nonceBytes]
	if !hmac.Equal(answer[nonceBytes:], proof(c, "client", challenge, nonce)) {
		return ErrCredential
	}
	if _, err := conn.Write(proof(c, "server", nonce, challenge)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// dialHandshake answers a server's challenge and checks that the server knows the credential too.
func dialHandshake(conn net.Conn, c Credential, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	greeting := make([]byte, len(protocolMagic)+nonceBytes)
	if _, err := io.ReadFull(conn, greeting); err != nil {
		return err
	}
	if string(greeting[:len(protocolMagic)]) != protocolMagic {
		return fmt.Errorf("not a wagtailford node or another protocol version")
	}
	challenge := greeting[len(protocolMagic):]
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	if _, err := conn.Write(append(nonce[:nonceBytes:nonceBytes], proof(c, "client", challenge, nonce)...)); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return fmt.Errorf("%w, or the server is full: %w", ErrCredential, err)
	}
	if !hmac.Equal(answer, proof(c, "server", nonce, challenge)) {
		return ErrCredential
	}
	return conn.SetDeadline(time.Time{})
}
