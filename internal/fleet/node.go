package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// Node runs the agent of one process: one goroutine owns the Agent, and receives what the network and
// the serving loop send by channels. All methods may be called from any goroutine.
type Node struct {
	config      Config
	logger      *slog.Logger
	gossip      *gossipNetwork
	random      *rand.Rand
	agent       *Agent // owned by the goroutine of run
	incarnation atomic.Uint64
	cancel      context.CancelFunc
	done        chan struct{}

	inbox          chan *wire.Envelope
	requests       chan func(now float64)
	claimEvents    chan ClaimEvent
	trustedClients chan []connlimit.TrustedClient
	usage          chan []Usage
	callStats      chan serving.CallStats
	requestCounts  chan []serving.CounterCell

	dropped      atomic.Uint64 // what found no room, and messages that could not be decoded
	claimBacklog atomic.Int64  // claim events in the channel, and reports that the replicas have not recorded
}

const (
	maxInbox        = 1024 // messages that wait for the agent; more are dropped
	maxRequests     = 16   // queries and commands that wait for the agent
	maxTrustedLists = 2    // more are dropped, as a newer list comes soon
	maxUsageLists   = 4    // likewise
	maxCallStats    = 16
	maxCountLists   = 4 // the serving loop keeps what finds no room, and reports it with the next

	// restartDelay is the time from an agent's panic to the start of the next agent, which knows
	// nothing of it.
	restartDelay = time.Second
	// minWakeup keeps overdue wakeups from making the loop spin.
	minWakeup = time.Millisecond
	// requestTimeout is how long the agent may take to accept a request, and then to answer it.
	requestTimeout = 2 * time.Second
	// undecodableLogEvery limits the log of messages that can't be decoded to one line in so many.
	undecodableLogEvery = 1000
)

// Start joins the fleet until the context is done or Stop is called. The random source has the time
// in its seed, so that a restarted process draws another incarnation.
func Start(ctx context.Context, config Config) (*Node, error) {
	random := rand.New(rand.NewPCG(uint64(config.Seed), uint64(time.Now().UnixNano())))
	n := &Node{
		config:         config,
		logger:         config.logger(),
		random:         random,
		done:           make(chan struct{}),
		inbox:          make(chan *wire.Envelope, maxInbox),
		requests:       make(chan func(float64), maxRequests),
		claimEvents:    make(chan ClaimEvent, maxClaimEvents),
		trustedClients: make(chan []connlimit.TrustedClient, maxTrustedLists),
		usage:          make(chan []Usage, maxUsageLists),
		callStats:      make(chan serving.CallStats, maxCallStats),
		requestCounts:  make(chan []serving.CounterCell, maxCountLists),
	}
	ctx, n.cancel = context.WithCancel(ctx)
	incarnation := n.newIncarnation()
	var err error
	if n.gossip, err = joinGossip(ctx, &config, incarnation, n.receive); err != nil {
		n.cancel()
		return nil, fmt.Errorf("fleet-listen %s: %w", config.ListenAddr, err)
	}
	n.startAgent(incarnation)
	go n.run(ctx)
	return n, nil
}

// Stop leaves the fleet.
func (n *Node) Stop() {
	n.cancel()
	<-n.done
}

// Incarnation returns the number of the agent's present incarnation.
func (n *Node) Incarnation() uint64 { return n.incarnation.Load() }

// newIncarnation draws an incarnation, which is never 0.
func (n *Node) newIncarnation() uint64 { return n.random.Uint64() | 1 }

// startAgent starts an agent, without any state of an earlier one.
func (n *Node) startAgent(incarnation uint64) {
	n.incarnation.Store(incarnation)
	n.agent = NewAgent(n.config, incarnation, n.gossip, n.random)
	n.claimBacklog.Store(0)
	if n.agent.replication != nil {
		n.agent.replication.backlog = &n.claimBacklog
	}
}

// receive decodes a message and queues it for the agent, on the network's goroutines.
func (n *Node) receive(encoded []byte) {
	message, err := wire.Decode(encoded)
	if err != nil {
		if n.dropped.Add(1)%undecodableLogEvery == 1 {
			n.logger.Info("fleet_message_rejected", "err", err, "times", n.dropped.Load())
		}
		return
	}
	message.Size = len(encoded)
	select {
	case n.inbox <- message:
	default:
		n.dropped.Add(1)
	}
}

// run runs agents until the context is done. One that panics is replaced by another incarnation,
// and the server keeps serving meanwhile.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	defer n.gossip.close()
	for n.runAgent(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
			n.startAgent(n.newIncarnation())
		}
	}
}

// runAgent runs the present agent until the context is done or the agent panics. It reports whether
// it panicked, so that another one is to be started.
func (n *Node) runAgent(ctx context.Context) (restart bool) {
	defer func() {
		if cause := recover(); cause != nil {
			n.logger.Error("fleet_agent_panic", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			restart = true
		}
	}()
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for n.handleNext(ctx, wakeup.C) {
		a := n.agent
		a.Tick(a.Now())
		wakeup.Reset(max(minWakeup, toDuration(a.NextWakeup()-a.Now())))
	}
	return false
}

// handleNext waits for the next event and handles it. It returns false once the context is done.
func (n *Node) handleNext(ctx context.Context, wakeup <-chan time.Time) bool {
	agent := n.agent
	select {
	case <-ctx.Done():
		return false
	case message := <-n.inbox:
		agent.HandleMessage(agent.Now(), message)
		for range len(n.inbox) { // also those that wait already, before the next Tick
			agent.HandleMessage(agent.Now(), <-n.inbox)
		}
	case request := <-n.requests:
		request(agent.Now())
	case clients := <-n.trustedClients:
		agent.ObserveTrusted(clients)
	case calls := <-n.callStats:
		agent.ObserveCalls(agent.Now(), calls)
	case cells := <-n.requestCounts:
		agent.ObserveCounts(cells)
	case usage := <-n.usage:
		agent.ObserveUsage(agent.Now(), usage)
	case event := <-n.claimEvents:
		agent.HandleClaimEvent(agent.Now(), event)
		for range len(n.claimEvents) {
			agent.HandleClaimEvent(agent.Now(), <-n.claimEvents)
		}
	case <-wakeup:
	}
	return true
}

// toDuration converts seconds, as the agent uses them, to a Duration.
func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runOnAgent runs do on the goroutine that owns the agent, and does not wait for its end.
func (n *Node) runOnAgent(do func(now float64)) error {
	select {
	case n.requests <- do:
		return nil
	case <-time.After(requestTimeout):
		return ErrAgentBusy
	}
}

// await returns the result if it comes in time, and ErrAgentDown otherwise.
func await[T any](result <-chan T, timeout time.Duration) (T, error) {
	select {
	case value := <-result:
		return value, nil
	case <-time.After(timeout):
		var none T
		return none, ErrAgentDown
	}
}

// query returns the result of read on the goroutine that owns the agent.
func query[T any](n *Node, read func(a *Agent, now float64) T) (T, error) {
	result := make(chan T, 1)
	if err := n.runOnAgent(func(now float64) { result <- read(n.agent, now) }); err != nil {
		var none T
		return none, err
	}
	return await(result, requestTimeout)
}

// ExecuteCommand submits an operator's command and waits for its result. It returns the newest epoch
// after it; the error of a command that is rejected is a *CommandRejectedError.
func (n *Node) ExecuteCommand(command release.Command) (release.Epoch, error) {
	done := make(chan wire.CommandResult, 1)
	submit := func(now float64) {
		n.agent.SubmitCommand(now, command, func(result wire.CommandResult) { done <- result })
	}
	if err := n.runOnAgent(submit); err != nil {
		return 0, err
	}
	result, err := await(done, toDuration(commandTimeout)+requestTimeout)
	if err != nil {
		return 0, err
	}
	if result.RejectReason != "" {
		return result.NewestEpoch, &CommandRejectedError{Reason: result.RejectReason}
	}
	return result.NewestEpoch, nil
}
