package lease

import "swiftcourse/internal/policy/release"

// maxUnavailable converts Config.MaxUnavailableFraction, a fraction of the registered servers, to a number
// of servers, rounded down.
func (g *Grantor) maxUnavailable(releaseLog *release.Log) int {
	return int(g.config.MaxUnavailableFraction * float64(len(releaseLog.Members)))
}

// isOperatorEjection reports whether an operator ejected the server. An operator's ejection applies
// to every incarnation of a name, a leader's ejection only to one lagging incarnation.
func isOperatorEjection(ejection release.Ejection) bool { return ejection.Incarnation == 0 }

// ejectionOf returns the ejection that applies to an incarnation of a server, and whether there is
// one.
func ejectionOf(releaseLog *release.Log, name string, incarnation uint64) (release.Ejection, bool) {
	ejection, found := releaseLog.Ejected[name]
	ejected := found && (isOperatorEjection(ejection) || ejection.Incarnation == incarnation)
	return ejection, ejected
}

// catchUpTimedOut reports whether a server has been lagging for longer than Config.CatchUpTimeoutSeconds.
func (g *Grantor) catchUpTimedOut(now float64, record *serverRecord) bool {
	return record.lagging() && now > record.laggingSince+g.config.CatchUpTimeoutSeconds
}

// reserveEjection reports whether a lagging server may be ejected without exceeding the limit on
// unavailable servers. If it may, the server counts as unavailable from now on, although its
// ejection is not committed yet.
func (g *Grantor) reserveEjection(releaseLog *release.Log, name string) bool {
	record := g.servers[name]
	if !record.ejectionReserved {
		// A fleet of two or more servers allows one ejection even if MaxUnavailableFraction allows none.
		minLimit := min(1, len(releaseLog.Members)/2)
		limit := max(g.maxUnavailable(releaseLog), minLimit)
		if g.countUnavailable(releaseLog) >= limit {
			return false
		}
	}
	record.ejectionReserved = true
	return true
}

// countUnavailable counts the servers that are ejected as lagging or have a reserved ejection.
func (g *Grantor) countUnavailable(releaseLog *release.Log) int {
	unavailable := 0
	for name, ejection := range releaseLog.Ejected {
		if !isOperatorEjection(ejection) && releaseLog.Members[name] == ejection.Incarnation {
			unavailable++
		}
	}
	for name, record := range g.servers {
		if _, ejected := releaseLog.Ejected[name]; ejected {
			continue
		}
		if record.ejectionReserved && releaseLog.Members[name] == record.incarnation {
			unavailable++
		}
	}
	return unavailable
}

// eject proposes to eject a lagging server. It proposes nothing until the server's lease has
// expired, so that the release log never lists a server as ejected while the server holds a lease.
func (g *Grantor) eject(now float64, request *Request, record *serverRecord) []release.Command {
	if now <= record.leaseEnd {
		return nil
	}
	record.withholdLease()
	return g.commands.propose(now, commandSubject(request.Name), release.Command{
		Kind:        release.KindEject,
		Name:        request.Name,
		Incarnation: request.Incarnation,
		Reason:      record.lagReason(),
	})
}

// permitCount counts the servers that may have a permit to go out of service: those with a recorded
// permit, and those that have sent no request in this term and so may have one.
type permitCount struct {
	count int
	// appliedCount is the release log's AppliedCount when the permits were counted, at countedAt.
	appliedCount uint64
	countedAt    float64
}

// permitOutOfService reports whether the reply to a request gives a permit to go out of service. A
// server keeps its permit even while it sends no requests. A new leader assumes that each server
// has a permit until the server's first request says whether it does. Therefore at most
// maxUnavailable servers have a permit at any time, unless the fleet shrinks.
func (g *Grantor) permitOutOfService(
	now float64, releaseLog *release.Log, record *serverRecord, request *Request,
) bool {
	g.countPermits(now, releaseLog)
	g.updatePermit(record, request)
	limit := g.maxUnavailable(releaseLog)
	// A new leader neither gives nor withdraws a permit while a server that has sent it no request
	// may still hold a lease from an earlier leader.
	priorLeasesExpired := g.priorLeasesExpired(now)
	switch {
	case record.mayGoOutOfService:
		if withdraw := priorLeasesExpired && g.permits.count > limit; withdraw {
			return false
		}
	case !priorLeasesExpired || g.permits.count >= limit:
		return false
	default:
		record.mayGoOutOfService = true
		g.permits.count++
	}
	record.permitRequestNumber = request.Number
	return true
}

// countPermits recounts the permits when the release log has changed, and otherwise once every
// maintenanceIntervalSeconds.
func (g *Grantor) countPermits(now float64, releaseLog *release.Log) {
	unchanged := g.permits.appliedCount == releaseLog.AppliedCount
	if unchanged && now <= g.permits.countedAt+maintenanceIntervalSeconds {
		return
	}
	count := 0
	for name, incarnation := range releaseLog.Members {
		record := g.servers[name]
		if record == nil || record.incarnation != incarnation || record.mayGoOutOfService {
			count++
		}
	}
	g.permits = permitCount{count: count, appliedCount: releaseLog.AppliedCount, countedAt: now}
}

// updatePermit updates the record of a server's permit from the server's request. The recorded
// permit is removed only once no reply that gives it can be pending any more.
func (g *Grantor) updatePermit(record *serverRecord, request *Request) {
	switch {
	case request.MayGoOutOfService && !record.mayGoOutOfService:
		record.mayGoOutOfService = true
		record.permitRequestNumber = request.Number
		g.permits.count++
	case record.mayGoOutOfService && !request.MayGoOutOfService &&
		request.Number >= record.permitRequestNumber+maxPending:
		record.mayGoOutOfService = false
		g.permits.count--
	}
}
