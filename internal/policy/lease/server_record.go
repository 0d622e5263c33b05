package lease

import "swiftcourse/internal/policy/release"

// serverRecord is a grantor's state of one incarnation of a server. It is not replicated and is
// lost at the end of the leader's term.
type serverRecord struct {
	incarnation uint64
	addr        string
	build       string
	// lastRequestAt is the time of the latest request.
	lastRequestAt float64
	// leaseEnd is when the latest granted lease has expired on any clock within
	// maxClockDriftFraction.
	leaseEnd float64

	activeEpoch release.Epoch
	blockedBy   string
	errorTally  release.ErrorTally
	// laggingSince is the time of the first request in which the active version was not the
	// assigned one, or notLagging.
	laggingSince float64
	// ejectionReserved means that the server counts toward Config.MaxUnavailableFraction while its ejection
	// is not committed yet.
	ejectionReserved bool

	// leaseWithheld means that a command that ejects this incarnation or takes its name was
	// proposed. The incarnation gets no lease until the command's result is known, which is the
	// case once a barrier that was proposed after the command is committed; see proposeBarrier. A
	// new leader needs no barrier: it knows the results of all earlier commands before a majority
	// confirms it.
	leaseWithheld bool
	// barrierID is the ID of the pending barrier, 0 for none.
	barrierID uint64

	// mayGoOutOfService means that the server has, or may have, a permit to go out of service.
	mayGoOutOfService bool
	// permitRequestNumber is the number of the latest request whose reply gave the permit.
	permitRequestNumber uint64
}

// notLagging is the value of serverRecord.laggingSince for a server that runs its assigned version.
const notLagging = -1

// newServerRecord returns the record of a server that is not known to lag.
func newServerRecord(incarnation uint64, lastRequestAt, leaseEnd float64) *serverRecord {
	return &serverRecord{
		incarnation:   incarnation,
		lastRequestAt: lastRequestAt,
		leaseEnd:      leaseEnd,
		laggingSince:  notLagging,
	}
}

// withholdLease makes the grantor refuse a lease until a new barrier is committed. A barrier that
// was proposed earlier does not show the result of the command for which the lease is withheld.
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

// update copies the server's state from its request and records whether the server is lagging.
func (r *serverRecord) update(now float64, request *Request, assigned release.Epoch) {
	r.addr = request.Addr
	r.build = request.Build
	r.lastRequestAt = now
	r.activeEpoch = request.ActiveEpoch
	r.blockedBy = request.BlockedBy
	r.errorTally = request.ErrorTally
	if request.ActiveEpoch == assigned {
		r.laggingSince = notLagging
	} else if !r.lagging() {
		r.laggingSince = now
	}
}

// recordRequest updates the record of the name's owner from its request, or creates it. It returns
// nil if the lease table is full and has no record of the name.
func (g *Grantor) recordRequest(now float64, request *Request, releaseLog *release.Log) *serverRecord {
	record := g.servers[request.Name]
	if record == nil || record.incarnation != request.Incarnation {
		if record == nil && len(g.servers) >= maxServers {
			return nil
		}
		record = newServerRecord(request.Incarnation, now, now)
		if g.permits.appliedCount == releaseLog.AppliedCount {
			// The server was counted as one that may have a permit, having sent no request in this
			// term.
			g.permits.count--
		}
		if !g.priorLeasesExpired(now) {
			record.leaseEnd = g.priorLeasesExpiry()
		}
		g.servers[request.Name] = record
	}
	record.update(now, request, releaseLog.VersionFor(request.Name).Epoch)
	return record
}

// ownerRecord returns the record of a name's owner, or nil if the lease table has no record of the
// name. An owner that took the name from another incarnation gets a new record that counts as
// leased for the time of one lease, in which it can request its lease. Without that time, several
// processes with the same name would take it from each other forever.
func (g *Grantor) ownerRecord(now float64, name string, owner uint64) *serverRecord {
	record := g.servers[name]
	if record != nil && record.incarnation != owner {
		record = newServerRecord(owner, now, max(now+g.maxLeaseSeconds(), g.priorLeasesExpiry()))
		record.mayGoOutOfService = true
		g.servers[name] = record
	}
	return record
}

// ownerLeaseExpired reports whether every lease of a name's owner has expired. record is the
// owner's record, or nil if the lease table has none.
func (g *Grantor) ownerLeaseExpired(now float64, record *serverRecord) bool {
	if record == nil {
		return g.priorLeasesExpired(now)
	}
	return now > record.leaseEnd
}

// withholdLease makes the grantor refuse a lease to an incarnation until the result of a command
// that may take its name is known. If the lease table has no record of the incarnation, one is
// created with lastRequestAt as the time of its latest request.
func (g *Grantor) withholdLease(lastRequestAt float64, name string, incarnation uint64) {
	record := g.servers[name]
	if record == nil || record.incarnation != incarnation {
		record = newServerRecord(incarnation, lastRequestAt, lastRequestAt)
		g.servers[name] = record
	}
	record.withholdLease()
}
