package lease

import (
	"math"

	"swiftcourse/internal/policy/release"
)

// Config holds the operator's settings for all leases of the fleet.
type Config struct {
	// LeaseSeconds is the length of a lease in seconds.
	LeaseSeconds float64
	// CatchUpTimeoutSeconds is how long, in seconds, a server may be lagging before it is ejected.
	CatchUpTimeoutSeconds float64
	// MaxUnavailableFraction is the fraction of the fleet that may be ejected as lagging. Independently, it
	// is also the fraction that may go out of service because no leader is reachable.
	MaxUnavailableFraction float64
	// UnregisterAfterSeconds is the time without a request, in seconds, after which a server's name is
	// unregistered.
	UnregisterAfterSeconds float64
}

const (
	// LeaderConfirmationWindowSeconds is how long, in seconds, a leader may decide after a majority last
	// confirmed it: four times the interval between two confirmations.
	LeaderConfirmationWindowSeconds = 1.0
	// maxClockDriftFraction is the fraction by which a server's clock may run slower than the
	// leader's. It is far above the drift of a quartz clock and above the 1% drift of the
	// simulations.
	maxClockDriftFraction = 0.02
	// maxServers bounds the lease table. It is four times the size of the largest simulated fleet.
	maxServers = 4096
	// clusterIDSpread is the size of the range from which bumpEpoch derives the new cluster ID, by
	// the requesting server's incarnation. The range makes it unlikely that two clusters choose the
	// same ID.
	clusterIDSpread = 900
	// maxIDsPerSecond is the number of IDs that a grantor may use each second without overlap with
	// the IDs of a grantor that starts later by the same clock.
	maxIDsPerSecond = 1e6
)

// Grantor is the leader's side of the leases: it grants them and keeps the lease table. Each leader
// makes a new Grantor for its term. A Grantor assumes that the leaders of earlier terms granted
// every lease that they could have granted.
type Grantor struct {
	config Config
	// voterAddrs holds the addresses of the voters by name. Only a process that listens at a
	// voter's address can have the voter's name.
	voterAddrs map[string]string
	startedAt  float64
	servers    map[string]*serverRecord

	permits           permitCount
	rollout           rolloutProgress
	commands          commandLimiter
	challenges        map[string]challenge
	lastID            uint64 // latest ID of a barrier or challenge
	lastMaintenanceAt float64
}

// NewGrantor returns the grantor of a leader whose term begins at now. voterAddrs holds the
// addresses at which the voters listen, by name.
//
// The leader has to append the grantor's commands to its own raft log, in the order in which they
// are returned. They must not be forwarded to another leader.
func NewGrantor(config Config, voterAddrs map[string]string, now float64) *Grantor {
	return &Grantor{
		config:            config,
		voterAddrs:        voterAddrs,
		startedAt:         now,
		servers:           map[string]*serverRecord{},
		commands:          commandLimiter{proposedAt: map[commandSubject]float64{}},
		challenges:        map[string]challenge{},
		lastID:            uint64(now * maxIDsPerSecond),
		lastMaintenanceAt: math.Inf(-1),
	}
}

// maxLeaseSeconds returns the longest time, in seconds of the grantor's clock, that a lease may
// last.
func (g *Grantor) maxLeaseSeconds() float64 {
	return g.config.LeaseSeconds * (1 + maxClockDriftFraction)
}

// priorLeasesExpiry returns when all leases that an earlier leader granted have expired. An earlier
// leader may grant leases for up to LeaderConfirmationWindowSeconds after this term began.
func (g *Grantor) priorLeasesExpiry() float64 {
	return g.startedAt + LeaderConfirmationWindowSeconds + g.maxLeaseSeconds()
}

// priorLeasesExpired reports whether all leases from earlier leaders have expired.
func (g *Grantor) priorLeasesExpired(now float64) bool { return now > g.priorLeasesExpiry() }

// HandleRequest answers a lease request and returns the commands to propose to the voters.
// confirmed says whether a majority confirmed the leader within LeaderConfirmationWindowSeconds. The
// verdict is VerdictRetry if it did not, or if a command has to be committed first.
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
	delete(g.challenges, request.Name) // the next restart of the server gets a new challenge
	record := g.recordRequest(now, request, releaseLog)
	if record == nil {
		reply.Reason = reasonTooManyServers
		return reply, nil
	}
	commands := g.decideLease(now, request, releaseLog, record, &reply)
	return reply, commands
}

// bumpEpoch proposes a cluster ID above the cluster ID of the request's active epoch. The requesting
// server runs a version that a lost voter group released, with a higher epoch than the release log
// has. A voter group is lost once a majority of its voters has lost its state.
func (g *Grantor) bumpEpoch(now float64, request *Request, releaseLog *release.Log) []release.Command {
	clusterID := uint64(request.ActiveEpoch.ClusterID()) + 1 + request.Incarnation%clusterIDSpread
	return g.commands.propose(now, subjectEpoch, release.Command{
		Kind:          release.KindBumpEpoch,
		ExpectedEpoch: releaseLog.NewestEpoch(),
		Previous:      clusterID, // KindBumpEpoch uses Previous as the new cluster ID
	})
}

// handleNewIncarnation decides whether an incarnation that doesn't own its name may take it, from
// the present owner if there is one. It fills in the reply and returns the commands to propose.
func (g *Grantor) handleNewIncarnation(
	now float64, request *Request, releaseLog *release.Log, reply *Reply,
) []release.Command {
	owner, owned := releaseLog.Members[request.Name]
	if owned && !g.ownerLeaseExpired(now, g.ownerRecord(now, request.Name, owner)) {
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
	// The owner's lease is withheld only if the command limiter let the command through. Otherwise
	// incarnations that compete for the name could use up the rate limit of the name, so that the
	// owner's barrier might never be proposed.
	if owned && commands != nil {
		g.withholdLease(now, request.Name, owner)
	}
	return commands
}

// decideLease handles a request from the owner of the name. It fills in the reply and returns the
// commands to propose.
func (g *Grantor) decideLease(
	now float64, request *Request, releaseLog *release.Log, record *serverRecord, reply *Reply,
) []release.Command {
	ejection, ejected := ejectionOf(releaseLog, request.Name, request.Incarnation)
	switch {
	case ejected && isOperatorEjection(ejection):
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
	case g.catchUpTimedOut(now, record) && g.reserveEjection(releaseLog, request.Name):
		reply.Verdict = VerdictLagging
		reply.Reason = record.lagReason()
		return g.eject(now, request, record)
	}
	reply.Verdict = VerdictGranted
	reply.LeaseSeconds = g.config.LeaseSeconds
	reply.MayGoOutOfService = g.permitOutOfService(now, releaseLog, record, request)
	record.leaseEnd = now + g.maxLeaseSeconds()
	return nil
}
