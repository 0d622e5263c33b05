// Package audit records which configuration version each server acted on, and reports it.
//
// A Trail holds the account of its own server and what it received of others. NewReport compares
// the accounts of a fleet with the release log and the lease table. Where there is no evidence the
// report has a Gap: nothing is filled in.
//
// The package has no I/O and no clock. A Trail belongs to the goroutine of the node agent; reports
// are values that anybody may keep. Times are Unix seconds by the clock of the server that reports
// them, so between servers only the order of epochs tells what came first.
package audit
