package lease

import "swiftcourse/internal/policy/release"

// maxUnavailable returns how many servers Config.MaxUnavailable allows to be unavailable.
func (g *Grantor) maxUnavailable(releaseLog *release.Log) int {
	return int(g.config.MaxUnavailable * float64(len(releaseLog.Members)))
}

// byOperator reports whether an operator ejected the server. An operator ejects a name; a leader
// ejects one incarnation, as lagging.
func byOperator(ejection release.Ejection) bool { return ejection.Incarnation == 0 }

// ejectionOf returns the ejection that applies to an incarnation of a server, if there is one.
func ejectionOf(releaseLog *release.Log, name string, incarnation uint64) (release.Ejection, bool) {
	ejection, found := releaseLog.Ejected[name]
	ejected := found && (byOperator(ejection) || ejection.Incarnation == incarnation)
	return ejection, ejected
}

// missedCatchUp reports whether a server has been lagging for longer than Config.CatchUpTimeout.
func (g *Grantor) missedCatchUp(now float64, record *serverRecord) bool {
	return record.lagging() && now > record.laggingSince+g.config.CatchUpTimeout
}

// reserveEjection reports whether a lagging server, which is not ejected yet, may be ejected. If so,
// it counts as unavailable from now on.
func (g *Grantor) reserveEjection(releaseLog *release.Log, name string) bool {
	record := g.servers[name]
	if !record.ejectionReserved {
		atLeastOne := min(1, len(releaseLog.Members)/2) // in any fleet that has another server
		limit := max(g.maxUnavailable(releaseLog), atLeastOne)
		if g.countUnavailable(releaseLog) >= limit {
			return false
		}
	}
	record.ejectionReserved = true
	return true
}

// countUnavailable counts the servers that are ejected as lagging or have their ejection reserved.
func (g *Grantor) countUnavailable(releaseLog *release.Log) int {
	unavailable := 0
	for name, ejection := range releaseLog.Ejected {
		if !byOperator(ejection) && releaseLog.Members[name] == ejection.Incarnation {
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

// eject proposes to eject a lagging server. It waits for the end of the server's lease, so that no
// server is listed as ejected while it has a lease.
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

// permitCount counts the servers that may have a permit to go out of service: those that have one as
// far as the grantor knows, and those from which it has had no request in this term.
type permitCount struct {
	count int
	// appliedCount is the release log's AppliedCount when the permits were counted, at countedAt.
	appliedCount uint64
	countedAt    float64
}

// permitOutOfService reports whether the reply to a request gives a permit to go out of service. A
// server keeps its permit, also while it sends no requests. A new leader learns of a permit from the
// server's request, and assumes that each server has one until its first request. So at no time do
// more than maxUnavailable servers have a permit, as long as the fleet does not shrink meanwhile.
func (g *Grantor) permitOutOfService(
	now float64, releaseLog *release.Log, record *serverRecord, request *Request,
) bool {
	g.countPermits(now, releaseLog)
	g.learnPermit(record, request)
	limit := g.maxUnavailable(releaseLog)
	// A new leader neither gives nor withdraws a permit while servers it has not heard from may have
	// a lease of an earlier leader.
	priorLeasesOver := g.priorLeasesOver(now)
	switch {
	case record.mayGoOutOfService:
		if withdraw := priorLeasesOver && g.permits.count > limit; withdraw {
			return false
		}
	case !priorLeasesOver || g.permits.count >= limit:
		return false
	default:
		record.mayGoOutOfService = true
		g.permits.count++
	}
	record.permitRequest = request.Number
	return true
}

// countPermits recounts the permits when the release log has changed, and otherwise once every
// maintenanceInterval.
func (g *Grantor) countPermits(now float64, releaseLog *release.Log) {
	unchanged := g.permits.appliedCount == releaseLog.AppliedCount
	if unchanged && now <= g.permits.countedAt+maintenanceInterval {
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

// learnPermit updates the record of a server's permit from its request.
func (g *Grantor) learnPermit(record *serverRecord, request *Request) {
	switch {
	case request.MayGoOutOfService && !record.mayGoOutOfService:
		record.mayGoOutOfService = true
		record.permitRequest = request.Number
		g.permits.count++
	case record.mayGoOutOfService && !request.MayGoOutOfService &&
		request.Number >= record.permitRequest+maxPending: // no reply that gives a permit is pending any more
		record.mayGoOutOfService = false
		g.permits.count--
	}
}
