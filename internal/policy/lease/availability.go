package lease

import "swiftcourse/internal/policy/release"

// maxUnavailable returns how many servers of the fleet may be unavailable.
func (g *Grantor) maxUnavailable(releaseLog *release.Log) int {
	return int(g.config.MaxUnavailable * float64(len(releaseLog.Members)))
}

// ejectionOf returns the ejection of a server, by an operator or of this very incarnation.
func ejectionOf(releaseLog *release.Log, name string, incarnation uint64) (release.Ejection, bool) {
	ejection, found := releaseLog.Ejected[name]
	ejected := found && (ejection.Incarnation == 0 || ejection.Incarnation == incarnation)
	return ejection, ejected
}

// missedCatchUp reports whether a server is lagging for too long.
func (g *Grantor) missedCatchUp(now float64, record *serverRecord) bool {
	return record.lagging() && now > record.laggingSince+g.config.CatchUpTimeout
}

// reserveEjection reports whether one more server may be ejected as lagging, and if so counts it
// from now on. Those that are ejected, and those that have no lease as they are lagging, count.
func (g *Grantor) reserveEjection(releaseLog *release.Log, name string) bool {
	unavailable := 0
	for other, ejection := range releaseLog.Ejected {
		if ejection.Incarnation == 0 || releaseLog.Members[other] != ejection.Incarnation {
			continue
		}
		if other == name {
			return true
		}
		unavailable++
	}
	for other, record := range g.servers {
		if _, ejected := releaseLog.Ejected[other]; ejected || other == name {
			continue
		}
		if record.refusedAsLagging && releaseLog.Members[other] == record.incarnation {
			unavailable++
		}
	}
	record := g.servers[name]
	atLeastOne := min(1, len(releaseLog.Members)/2) // in any fleet that has another server
	if !record.refusedAsLagging && unavailable >= max(g.maxUnavailable(releaseLog), atLeastOne) {
		return false
	}
	record.refusedAsLagging = true
	return true
}

// eject proposes to eject a lagging server, once its lease has ended: so it is never listed as
// ejected while it acts.
func (g *Grantor) eject(now float64, request *Request, record *serverRecord) []release.Command {
	if now <= record.leaseEnd {
		return nil
	}
	record.leaseWithheld = true
	record.fenceID = 0
	return g.commands.propose(now, request.Name, release.Command{
		Kind:        release.KindEject,
		Name:        request.Name,
		Incarnation: request.Incarnation,
		Reason:      record.lagReason(),
	})
}

// permitCount counts the servers that may go out of service when they hear nothing of a leader:
// those that have the permission, and those that were not heard in this term.
type permitCount struct {
	count int
	// appliedCount is that of the release log when the permits were counted, at countedAt.
	appliedCount uint64
	countedAt    float64
}

// permitOutOfService reports whether a server is among the few that may go out of service when they
// hear nothing. One that has the permission keeps it, also while it is silent. A new leader learns
// of it from the server, and assumes it of all that it has not heard. So at no time do more than
// maxUnavailable servers have it, as long as the fleet does not shrink meanwhile.
func (g *Grantor) permitOutOfService(
	now float64, releaseLog *release.Log, record *serverRecord, request *Request,
) bool {
	g.countPermits(now, releaseLog)
	g.learnPermit(record, request)
	limit := g.maxUnavailable(releaseLog)
	// A new leader neither gives nor takes a permission before it has heard of all that have one.
	priorLeasesOver := g.priorLeasesOver(now)
	if record.mayGoOutOfService {
		if priorLeasesOver && g.permits.count > limit {
			return false
		}
	} else {
		if !priorLeasesOver || g.permits.count >= limit {
			return false
		}
		record.mayGoOutOfService = true
		g.permits.count++
	}
	record.permitRequest = request.Number
	return true
}

// countPermits counts the permits anew when the release log has changed, and now and then.
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

// learnPermit takes over what the server itself knows of its permission.
func (g *Grantor) learnPermit(record *serverRecord, request *Request) {
	switch {
	case request.MayGoOutOfService && !record.mayGoOutOfService:
		record.mayGoOutOfService = true
		record.permitRequest = request.Number
		g.permits.count++
	case record.mayGoOutOfService && !request.MayGoOutOfService &&
		request.Number >= record.permitRequest+maxPending: // no reply that gives it is pending any more
		record.mayGoOutOfService = false
		g.permits.count--
	}
}
