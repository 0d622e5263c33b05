package replicastore

import (
	"bytes"
	"crypto/sha256"
)

// SlotCount is the number of slots that divide the keys; all keys of a slot have the same
// replicas. 256 slots spread evenly over the tens of replicas that a fleet has, and a list
// with one checksum for each slot takes 2 KB.
const SlotCount = 256

// Key is a hash of an idempotency key and its request class.
type Key [16]byte

// KeyOf returns the Key of an idempotency key within a request class. The hash is cryptographic,
// as a collision would answer one request with another's result.
func KeyOf(class, idempotencyKey string) Key {
	var key Key
	sum := sha256.Sum256([]byte(class + "\x00" + idempotencyKey))
	copy(key[:], sum[:])
	return key
}

// Slot returns the slot that the key belongs to, from 0 to SlotCount-1.
func (k Key) Slot() int { return int(k[0]) }

// Compare orders keys by their bytes, so that the keys of a slot follow one another.
func (k Key) Compare(other Key) int { return bytes.Compare(k[:], other[:]) }
