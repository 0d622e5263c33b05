// Package fleetcmd implements the command line for operating a fleet: it shows the status of
// servers, replicas, quotas, counters and load plans, and sends commands such as a release. It
// calls the control API of any server of the fleet and holds no state of its own.
package fleetcmd
