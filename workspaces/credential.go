// Package workspaces holds the workspaces of a configuration with their API keys and finds the
// workspace of a caller's credential. It performs no I/O and retains no text of a key.
package workspaces

import (
	"crypto/rand"
	"crypto/sha256"
	"strings"
)

// digest is the keyed hash of an API key. It has no meaning in another process.
type digest [sha256.Size]byte

// secret keys the digests. It is random, so that the position of a digest in a Set, on which the
// time of a look-up depends, tells a caller nothing about keys.
var secret = newSecret()

func newSecret() (s [sha256.Size]byte) {
	_, _ = rand.Read(s[:]) // never fails
	return s
}

// digestOf returns the digest of a key. A plain prefix suffices as the key of the hash: digests do
// not leave the process, so that none can be extended.
func digestOf(key string) digest {
	var buffer [sha256.Size + 96]byte
	return sha256.Sum256(append(append(buffer[:0], secret[:]...), key...))
}

// Form is the form of a credential as the caller sent it.
type Form uint8

// Forms of a credential.
const (
	FormMissing Form = iota
	FormMalformed
	// FormRepeated means that the request has more than one credential.
	FormRepeated
	FormKey
)

// Credential is the credential of one request. The zero value is a missing one. It contains no text
// of a key and its formatted form hides the digest.
type Credential struct {
	form   Form
	digest digest
}

// ForKey returns the credential with the given key. One with a key that no workspace can have is
// malformed.
func ForKey(key string) Credential {
	if !usableKey(key) {
		return Malformed()
	}
	return Credential{form: FormKey, digest: digestOf(key)}
}

// Malformed returns a credential of an unknown form.
func Malformed() Credential { return Credential{form: FormMalformed} }

// Repeated returns the credential of a request that has several.
func Repeated() Credential { return Credential{form: FormRepeated} }

// Form returns the form of the credential.
func (c Credential) Form() Form { return c.form }

// String implements fmt.Stringer.
func (c Credential) String() string { return "[credential hidden]" }

// GoString implements fmt.GoStringer.
func (c Credential) GoString() string { return c.String() }

// usableKey reports whether callers can send the key unchanged in a header line.
func usableKey(key string) bool {
	return key != "" && !strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
