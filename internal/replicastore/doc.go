// Package replicastore holds the records that one replica keeps of idempotency keys:
// which attempts claimed a key, and the outcome of each of them.
//
// A Store is a plain in-memory structure, bounded in records and in bytes. It is owned by
// one goroutine and takes no lock. It keeps a CRC of each record's key and attempts, and
// checks it before the record is read, to detect memory corruption. Package replication, the
// only caller that writes, decides which records are stored and how copies are merged.
package replicastore
