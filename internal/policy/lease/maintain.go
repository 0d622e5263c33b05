package lease

import (
	"cmp"
	"slices"

	"swiftcourse/internal/policy/release"
)

// maintenanceInterval is the pause, in seconds, between two rounds of a leader's maintenance.
const maintenanceInterval = 0.25

// Maintain returns the commands that are due without any request: names to unregister, a
// rollout to advance, a release to roll back.
func (g *Grantor) Maintain(
	now float64, releaseLog *release.Log, policy release.RolloutPolicy,
) []release.Command {
	if now < g.maintainedAt+maintenanceInterval {
		return nil
	}
	g.maintainedAt = now
	g.pruneServers(now, releaseLog)
	commands := g.unregisterSilent(now, releaseLog)
	return append(commands, g.advanceRollout(now, releaseLog, policy)...)
}

// pruneServers drops the records of incarnations that own no name, and frees the ejection
// reservations of servers that are no longer lagging or have sent no request for long.
func (g *Grantor) pruneServers(now float64, releaseLog *release.Log) {
	for name, record := range g.servers {
		if releaseLog.Members[name] != record.incarnation {
			if now > record.heardAt+g.config.ForgetAfter {
				delete(g.servers, name)
			}
			continue
		}
		absent := now > record.leaseEnd+g.config.Duration
		if !record.lagging() || absent {
			record.ejectionReserved = false
		}
	}
}

// unregisterSilent returns commands that unregister the servers which sent no request for
// Config.ForgetAfter, ordered by name.
func (g *Grantor) unregisterSilent(now float64, releaseLog *release.Log) []release.Command {
	if now <= g.startedAt+g.config.ForgetAfter+g.leaseBound() {
		return nil
	}
	var commands []release.Command
	for name, incarnation := range releaseLog.Members {
		record := g.servers[name]
		if record != nil && now <= record.heardAt+g.config.ForgetAfter {
			continue
		}
		unregister := g.commands.propose(now, commandSubject(name), release.Command{
			Kind:        release.KindUnregister,
			Name:        name,
			Incarnation: incarnation,
		})
		if unregister != nil {
			heardAt := now - g.config.ForgetAfter - 1 // so that a new record is due to be forgotten too
			g.withholdLease(heardAt, name, incarnation)
			commands = append(commands, unregister...)
		}
	}
	slices.SortFunc(commands, func(a, b release.Command) int { return cmp.Compare(a.Name, b.Name) })
	return commands
}
