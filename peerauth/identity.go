// Package peerauth authenticates messages between nodes. Each process has an X25519 key pair of its
// own, whose public key stands in the record of the node in the store. Two nodes derive a key for
// each direction from their pairs, and a message carries an HMAC under the key of its direction and
// a number that the receiver accepts once.
//
// What it relies on, and what it does not protect against:
//
//   - Whoever can write records of nodes to the store can put in a key of its own and speak as any
//     node. The store is trusted, as for the configuration.
//   - A node that is compromised speaks for itself with all others.
//   - Messages are not encrypted, and only the fields passed to Sign are covered. A response is not
//     covered by the token of its request.
//   - A message that was held back on its way is accepted later, once, while both processes live
//     and less than windowSize messages of the same sender have overtaken it. After the record of a
//     node was removed and written again, and more than maxRemoved others were removed meanwhile,
//     earlier messages of it are accepted once more.
//
// The package performs no I/O. Sign and Verify load one atomic pointer and take no lock.
package peerauth

import (
	"crypto/ecdh"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"

	"github.com/lentilpick/lentilpick/types"
)

const (
	// label separates these keys and messages from those of other protocols and versions.
	label   = "lentilpick peer messages 1"
	keySize = 32
)

var (
	// ErrInvalidKey reports a public key that does not decode or gives no shared secret.
	ErrInvalidKey = errors.New("invalid public key")
	// ErrUnknownPeer reports a node without a key.
	ErrUnknownPeer = errors.New("node has no known key")
	// ErrSelf reports a message of this node to itself.
	ErrSelf = errors.New("message of this node to itself")
	// ErrNotAuthentic reports a token that does not belong to the message, its sender and this node.
	ErrNotAuthentic = errors.New("message is not authentic")
	// ErrReplayed reports a message that was accepted before, or that too many later ones have
	// overtaken.
	ErrReplayed = errors.New("message was received before")
)

// Identity is the name and key pair of a process.
type Identity struct {
	name    types.VMID
	private *ecdh.PrivateKey
}

// NewIdentity returns an Identity with a new key pair.
func NewIdentity(name types.VMID) (*Identity, error) {
	k, err := ecdh.X25519().GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	return &Identity{name, k}, nil
}

// PublicKey returns the public key for the record of the node.
func (i *Identity) PublicKey() string {
	return base64.StdEncoding.EncodeToString(i.private.PublicKey().Bytes())
}

// Format implements fmt.Formatter: all verbs print the name and none the keys. A verb that does not
// fit would print the private key behind the pointer otherwise.
func (i Identity) Format(s fmt.State, _ rune) {
	_, _ = io.WriteString(s, "identity of "+string(i.name))
}

func decodePublicKey(s string) (*ecdh.PublicKey, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil || base64.StdEncoding.EncodeToString(b) != s { // the decoder skips line ends
		return nil, ErrInvalidKey
	}
	k, err := ecdh.X25519().NewPublicKey(b)
	if err != nil {
		return nil, ErrInvalidKey
	}
	return k, nil
}

// deriveKeys returns the keys of the messages to a peer and from it.
func (i *Identity) deriveKeys(name types.VMID, public string) (to, from []byte, err error) {
	k, err := decodePublicKey(public)
	if err != nil {
		return nil, nil, err
	}
	secret, err := i.private.ECDH(k)
	if err != nil { // a point of low order
		return nil, nil, ErrInvalidKey
	}
	own, peer := i.private.PublicKey().Bytes(), k.Bytes()
	if to, err = deriveKey(secret, i.name, name, own, peer); err != nil {
		return nil, nil, err
	}
	from, err = deriveKey(secret, name, i.name, peer, own)
	return to, from, err
}

func deriveKey(secret []byte, sender, receiver types.VMID, senderKey, receiverKey []byte) ([]byte, error) {
	info := appendFields(nil, []byte(sender), []byte(receiver), senderKey, receiverKey)
	k, err := hkdf.Key(sha256.New, secret, []byte(label), string(info), keySize)
	if err != nil {
		return nil, fmt.Errorf("key derivation: %w", err)
	}
	return k, nil
}
