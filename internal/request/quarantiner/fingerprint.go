package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint, in bytes: enough that nobody finds two
// contents with the same one, by chance or on purpose.
const fingerprintBytes = 16

// Fingerprint identifies a request by its content. It is the same each time a request is
// sent, whatever its ID.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a content that consists of parts. Each part is
// hashed with its length, so that bytes that move from one part to the next make another
// content.
func FingerprintOf(parts ...[]byte) Fingerprint {
	digest := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}

// ParseFingerprint returns the fingerprint that String has written; false if text is none.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	if hex.DecodedLen(len(text)) != fingerprintBytes {
		return f, false
	}
	_, err := hex.Decode(f[:], []byte(text))
	return f, err == nil
}

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
