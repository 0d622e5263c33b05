// Package audit records which configuration version each server ran, and reports it.
//
// A Trail holds the account of its own server and the accounts that it received of other servers.
// NewReport compares the accounts of a fleet with the release log and the lease table. For a period
// without an account the report has a Gap; it makes no assumption about that period.
//
// The package has no I/O and no clock. Only the node agent (package fleet) uses a Trail. Reports
// share no state with a Trail. Times are Unix seconds by the clock of the server that reports them,
// so events on different servers can only be ordered by their epochs.
package audit
