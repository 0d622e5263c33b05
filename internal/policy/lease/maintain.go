package lease

import (
	"cmp"
	"slices"

	"swiftcourse/internal/policy/release"
)

// maintenanceIntervalSeconds is the least time between two rounds of a leader's maintenance.
const maintenanceIntervalSeconds = 0.25

// Maintain returns the due commands that no lease request triggers: to unregister names, to advance
// a rollout, or to roll a release back.
func (g *Grantor) Maintain(
	now float64, releaseLog *release.Log, policy release.RolloutPolicy,
) []release.Command {
	if now < g.lastMaintenanceAt+maintenanceIntervalSeconds {
		return nil
	}
	g.lastMaintenanceAt = now
	g.pruneServers(now, releaseLog)
	commands := g.unregisterInactive(now, releaseLog)
	return append(commands, g.advanceRollout(now, releaseLog, policy)...)
}

// pruneServers drops the records of incarnations that own no name and have sent no request for
// Config.UnregisterAfterSeconds. It also releases the ejection reservations of servers that are no longer
// lagging, or whose lease expired more than a lease duration ago.
func (g *Grantor) pruneServers(now float64, releaseLog *release.Log) {
	for name, record := range g.servers {
		if releaseLog.Members[name] != record.incarnation {
			if now > record.lastRequestAt+g.config.UnregisterAfterSeconds {
				delete(g.servers, name)
			}
			continue
		}
		absent := now > record.leaseEnd+g.config.LeaseSeconds
		if !record.lagging() || absent {
			record.ejectionReserved = false
		}
	}
}

// unregisterInactive returns commands that unregister the servers without a request for
// Config.UnregisterAfterSeconds, ordered by name.
func (g *Grantor) unregisterInactive(now float64, releaseLog *release.Log) []release.Command {
	if now <= g.startedAt+g.config.UnregisterAfterSeconds+g.maxLeaseSeconds() {
		return nil
	}
	var commands []release.Command
	for name, incarnation := range releaseLog.Members {
		record := g.servers[name]
		if record != nil && now <= record.lastRequestAt+g.config.UnregisterAfterSeconds {
			continue
		}
		unregister := g.commands.propose(now, commandSubject(name), release.Command{
			Kind:        release.KindUnregister,
			Name:        name,
			Incarnation: incarnation,
		})
		if unregister != nil {
			// A record that is created here counts as older than UnregisterAfterSeconds: it is pruned once the
			// name is unregistered, and a lost command is proposed again.
			lastRequestAt := now - g.config.UnregisterAfterSeconds - 1
			g.withholdLease(lastRequestAt, name, incarnation)
			commands = append(commands, unregister...)
		}
	}
	slices.SortFunc(commands, func(a, b release.Command) int { return cmp.Compare(a.Name, b.Name) })
	return commands
}
