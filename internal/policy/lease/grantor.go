package lease

import (
	"math"

	"swiftcourse/internal/policy/release"
)

// Config is what the operator sets for all leases of the fleet.
type Config struct {
	// Duration is the length of a lease in seconds.
	Duration float64
	// CatchUpTimeout is how long, in seconds, a server may run another version than its assigned
	// one before it is ejected.
	CatchUpTimeout float64
	// MaxUnavailable is the fraction of the fleet that may be ejected as lagging, and likewise the
	// fraction that may go out of service because no leader is reachable.
	MaxUnavailable float64
	// ForgetAfter is for how long, in seconds, a server has to send no request before its name is
	// unregistered.
	ForgetAfter float64
}

const (
	// LeaderConfirmationWindow is how long ago, in seconds, a majority may have confirmed a leader
	// that still decides: four times the pause between two confirmations.
	LeaderConfirmationWindow = 1.0
	// maxClockDrift is how much slower than the leader's a server's clock may run, as a fraction:
	// far more than any crystal's drift, and than the 1% of the simulations.
	maxClockDrift = 0.02
	// maxServers bounds the lease table: four times the largest simulated fleet.
	maxServers = 4096
	// clusterIDSpread is the size of the range from which bumpEpoch chooses the new cluster ID, by
	// the incarnation, so that two clusters that do so are unlikely to choose the same.
	clusterIDSpread = 900
	// maxIDsPerSecond is how many IDs a grantor may draw each second without reaching those of a
	// grantor that starts later by the same clock.
	maxIDsPerSecond = 1e6
)

// Grantor is the leader's side: it grants leases and keeps the lease table. It belongs to one term:
// a new leader makes a new Grantor, which assumes that its predecessor granted every lease that it
// could have granted.
type Grantor struct {
	config Config
	// voterAddrs are the addresses of voters by name. Only a process that listens at a voter's
	// address can have its name.
	voterAddrs map[string]string
	startedAt  float64
	servers    map[string]*serverRecord

	permits      permitCount
	rollout      rolloutProgress
	commands     commandLimiter
	challenges   map[string]challenge
	lastID       uint64 // of barriers and challenges
	maintainedAt float64
}

// NewGrantor returns the grantor of a leader whose term begins at now. voterAddrs holds the
// addresses at which the voters listen, by name.
//
// The leader has to append the grantor's commands to its own log, in their order: they must not be
// forwarded to another leader.
func NewGrantor(config Config, voterAddrs map[string]string, now float64) *Grantor {
	return &Grantor{
		config:       config,
		voterAddrs:   voterAddrs,
		startedAt:    now,
		servers:      map[string]*serverRecord{},
		commands:     commandLimiter{proposedAt: map[commandSubject]float64{}},
		challenges:   map[string]challenge{},
		lastID:       uint64(now * maxIDsPerSecond),
		maintainedAt: math.Inf(-1),
	}
}

// leaseBound returns for how long a lease may last by the grantor's clock.
func (g *Grantor) leaseBound() float64 { return g.config.Duration * (1 + maxClockDrift) }

// priorLeasesEnd returns when all leases have ended that an earlier leader granted. It granted the
// last at most LeaderConfirmationWindow after this term began.
func (g *Grantor) priorLeasesEnd() float64 {
	return g.startedAt + LeaderConfirmationWindow + g.leaseBound()
}

// priorLeasesOver reports whether no lease of an earlier leader is in force.
func (g *Grantor) priorLeasesOver(now float64) bool { return now > g.priorLeasesEnd() }

// HandleRequest answers a lease request and returns the commands to propose to the voters.
// confirmed says whether a majority confirmed the leader within LeaderConfirmationWindow; if not, the
// verdict is VerdictRetry. It is also VerdictRetry where a command has to be committed first.
func (g *Grantor) HandleRequest(
	now float64, request *Request, releaseLog *release.Log, confirmed bool,
) (Reply, []release.Command) {
	reply := Reply{
		Incarnation:   request.Incarnation,
		Number:        request.Number,
		Verdict:       VerdictRetry,
		AssignedEpoch: releaseLog.VersionFor(request.Name).Epoch,
	}
	if !confirmed || request.Name == "" || request.Incarnation == 0 {
		return reply, nil
	}
	if request.ActiveEpoch > releaseLog.NewestEpoch() {
		reply.Reason = reasonLostCluster
		return reply, g.bumpEpoch(now, request, releaseLog)
	}
	owner, owned := releaseLog.Members[request.Name]
	if !owned || owner != request.Incarnation {
		commands := g.handleNewIncarnation(now, request, releaseLog, &reply)
		return reply, commands
	}
	delete(g.challenges, request.Name) // a later successor gets a new one
	record := g.observe(now, request, releaseLog)
	if record == nil {
		reply.Reason = reasonTooManyServers
		return reply, nil
	}
	commands := g.decide(now, request, releaseLog, record, &reply)
	return reply, commands
}

// bumpEpoch proposes that epochs continue above those of a lost cluster, from which a server runs a
// version.
func (g *Grantor) bumpEpoch(now float64, request *Request, releaseLog *release.Log) []release.Command {
	clusterID := uint64(request.ActiveEpoch.ClusterID()) + 1 + request.Incarnation%clusterIDSpread
	return g.commands.propose(now, subjectEpoch, release.Command{
		Kind:          release.KindBumpEpoch,
		ExpectedEpoch: releaseLog.NewestEpoch(),
		Previous:      clusterID, // for this kind Previous is a cluster ID
	})
}

// handleNewIncarnation decides whether an incarnation that doesn't own its name may take it, from
// its owner if it has one. It fills in the reply and returns the commands to propose.
func (g *Grantor) handleNewIncarnation(
	now float64, request *Request, releaseLog *release.Log, reply *Reply,
) []release.Command {
	owner, owned := releaseLog.Members[request.Name]
	if owned && !g.leaseOver(now, g.ownerRecord(now, request.Name, owner)) {
		if !g.sharesAddress(request, owner) {
			reply.Verdict = VerdictNameTaken
			reply.Reason = reasonNameTaken
			return nil
		}
		reply.Nonce = g.pendingNonce(request)
		if reply.Nonce != 0 {
			return nil
		}
	}
	commands := g.commands.propose(now, commandSubject(request.Name), release.Command{
		Kind:        release.KindRegister,
		Name:        request.Name,
		Incarnation: request.Incarnation,
		Previous:    owner,
	})
	// If the limiter held the command back, the owner keeps its lease: otherwise the owner's own
	// barrier might never be proposed while other incarnations compete for the name.
	if owned && commands != nil {
		g.withholdLease(now, request.Name, owner)
	}
	return commands
}

// decide handles the request of a name's owner. It fills in the reply and returns the commands to
// propose.
func (g *Grantor) decide(
	now float64, request *Request, releaseLog *release.Log, record *serverRecord, reply *Reply,
) []release.Command {
	ejection, ejected := ejectionOf(releaseLog, request.Name, request.Incarnation)
	switch {
	case ejected && byOperator(ejection):
		reply.Verdict = VerdictEjected
		reply.Reason = ejection.Reason
		return nil
	case ejected && !record.lagging():
		reply.Reason = reasonReadmitted
		record.leaseWithheld = false
		return g.commands.propose(now, commandSubject(request.Name), release.Command{
			Kind: release.KindReadmit,
			Name: request.Name,
		})
	case ejected:
		reply.Verdict = VerdictLagging
		reply.Reason = record.lagReason()
		return nil
	case record.leaseWithheld:
		reply.Reason = reasonChangePending
		return g.proposeBarrier(now, request, record)
	case g.missedCatchUp(now, record) && g.reserveEjection(releaseLog, request.Name):
		reply.Verdict = VerdictLagging
		reply.Reason = record.lagReason()
		return g.eject(now, request, record)
	}
	reply.Verdict = VerdictGranted
	reply.Duration = g.config.Duration
	reply.MayGoOutOfService = g.permitOutOfService(now, releaseLog, record, request)
	record.leaseEnd = now + g.leaseBound()
	return nil
}
