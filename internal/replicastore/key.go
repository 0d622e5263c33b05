package replicastore

import (
	"bytes"
	"crypto/sha256"
)

// SlotCount is the number of slots into which the keys are divided; all keys of a slot have the
// same replicas. 256 slots are enough to spread the load evenly over the tens of replicas of a
// fleet, and a list of one checksum for each slot takes only 2 KB.
const SlotCount = 256

// Key is the hash of a request class and an idempotency key.
type Key [16]byte

// KeyOf returns the Key of an idempotency key within a request class. The hash is cryptographic,
// because a collision would answer a request with the result of another.
func KeyOf(class, idempotencyKey string) Key {
	var key Key
	sum := sha256.Sum256([]byte(class + "\x00" + idempotencyKey))
	copy(key[:], sum[:])
	return key
}

// Slot returns the slot that the key belongs to, from 0 to SlotCount-1.
func (k Key) Slot() int { return int(k[0]) }

// Compare orders keys by their bytes, so that the keys of a slot are contiguous.
func (k Key) Compare(other Key) int { return bytes.Compare(k[:], other[:]) }
