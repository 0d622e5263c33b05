// Package replicastore holds the records that one replica keeps of idempotency keys:
// which attempts claimed a key, and the outcome of each of them.
//
// A Store is a plain in-memory structure, bounded in records and in bytes. It is owned by
// one goroutine and takes no lock. It guards each record by a checksum, so that a record
// that changed in memory is found before it is read. Which record goes in, and which of
// two copies wins, is decided by package replication, the only caller that writes.
package replicastore
