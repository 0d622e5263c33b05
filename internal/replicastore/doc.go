// Package replicastore stores one replica's records of idempotency keys. A record lists the
// attempts that claimed a key and the outcome of each attempt.
//
// A Store is an in-memory structure with a bounded number of records and bytes. It is owned by
// one goroutine and has no lock. To detect memory corruption it keeps a CRC of each record's
// key and attempts, and verifies it before the record is read. Package replication is the only
// writer; it decides which records are stored and merges copies.
package replicastore
