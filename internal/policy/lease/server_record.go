package lease

import "swiftcourse/internal/policy/release"

// serverRecord is what a grantor knows of one incarnation of a server. It is not replicated: it
// ends with the leader's term.
type serverRecord struct {
	incarnation uint64
	addr        string
	build       string
	heardAt     float64
	// leaseEnd is when the latest lease that was granted has ended, with maxClockDrift allowed for.
	leaseEnd float64

	activeEpoch release.Epoch
	blockedBy   string
	errorTally  release.ErrorTally
	// laggingSince is when the server first reported another version than the assigned one, or
	// notLagging.
	laggingSince float64
	// ejectionReserved means that the server counts toward Config.MaxUnavailable while its ejection
	// is not committed yet.
	ejectionReserved bool

	// leaseWithheld means that a command was proposed that ejects this incarnation or takes its
	// name, so that it gets no lease until the command's result is known. That is the case once a
	// barrier is committed, see proposeBarrier. A new leader knows the results of all earlier
	// commands before a majority confirms it.
	leaseWithheld bool
	// barrierID is the ID of the barrier that was proposed, 0 for none.
	barrierID uint64

	// mayGoOutOfService means that the server has a permit to go out of service, or may have one.
	mayGoOutOfService bool
	// permitRequest is the number of the latest request whose reply gave the permit.
	permitRequest uint64
}

// notLagging is serverRecord.laggingSince of a server on its assigned version.
const notLagging = -1

// newServerRecord returns the record of a server that is not known to lag.
func newServerRecord(incarnation uint64, heardAt, leaseEnd float64) *serverRecord {
	return &serverRecord{
		incarnation:  incarnation,
		heardAt:      heardAt,
		leaseEnd:     leaseEnd,
		laggingSince: notLagging,
	}
}

// withholdLease refuses a lease until a barrier that is proposed later is committed. An earlier
// barrier says nothing about the command that is the cause.
func (r *serverRecord) withholdLease() {
	r.leaseWithheld = true
	r.barrierID = 0
}

func (r *serverRecord) lagging() bool { return r.laggingSince >= 0 }

// lagReason returns why the server doesn't run its assigned version.
func (r *serverRecord) lagReason() string {
	if r.blockedBy != "" {
		return r.blockedBy
	}
	return reasonNotCaughtUp
}

// update copies the server's state from its request.
func (r *serverRecord) update(now float64, request *Request, assigned release.Epoch) {
	r.addr = request.Addr
	r.build = request.Build
	r.heardAt = now
	r.activeEpoch = request.ActiveEpoch
	r.blockedBy = request.BlockedBy
	r.errorTally = request.ErrorTally
	if request.ActiveEpoch == assigned {
		r.laggingSince = notLagging
	} else if !r.lagging() {
		r.laggingSince = now
	}
}

// observe updates the record of a name's owner from its request. It returns nil if the lease table
// has no room for a new one.
func (g *Grantor) observe(now float64, request *Request, releaseLog *release.Log) *serverRecord {
	record := g.servers[request.Name]
	if record == nil || record.incarnation != request.Incarnation {
		if record == nil && len(g.servers) >= maxServers {
			return nil
		}
		record = newServerRecord(request.Incarnation, now, now)
		if g.permits.appliedCount == releaseLog.AppliedCount {
			g.permits.count-- // it was counted as a server without a request in this term
		}
		if !g.priorLeasesOver(now) {
			record.leaseEnd = g.priorLeasesEnd()
		}
		g.servers[request.Name] = record
	}
	record.update(now, request, releaseLog.VersionFor(request.Name).Epoch)
	return record
}

// ownerRecord returns the record of a name's owner, or nil if the table has none for the name. An
// owner that took the name from another incarnation gets a new record, with the time of a lease to
// request one: otherwise several processes of one name would take it from one another for ever.
func (g *Grantor) ownerRecord(now float64, name string, owner uint64) *serverRecord {
	record := g.servers[name]
	if record != nil && record.incarnation != owner {
		record = newServerRecord(owner, now, max(now+g.leaseBound(), g.priorLeasesEnd()))
		record.mayGoOutOfService = true
		g.servers[name] = record
	}
	return record
}

// leaseOver reports whether the owner of a name can't have a lease any more. record is the owner's,
// or nil if the table has none.
func (g *Grantor) leaseOver(now float64, record *serverRecord) bool {
	if record == nil {
		return g.priorLeasesOver(now)
	}
	return now > record.leaseEnd
}

// withholdLease refuses a lease to an incarnation until the result of a command is known that may
// take its name. heardAt is recorded as the time of the incarnation's latest request if the table
// has no record of it.
func (g *Grantor) withholdLease(heardAt float64, name string, incarnation uint64) {
	record := g.servers[name]
	if record == nil || record.incarnation != incarnation {
		record = newServerRecord(incarnation, heardAt, heardAt)
		g.servers[name] = record
	}
	record.withholdLease()
}
