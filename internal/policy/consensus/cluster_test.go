package consensus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// jsonCodec is a codec for tests.
type jsonCodec struct{}

func (jsonCodec) MarshalCommand(command *release.Command) []byte {
	data, _ := json.Marshal(command)
	return data
}

func (jsonCodec) UnmarshalCommand(data []byte) (*release.Command, error) {
	command := &release.Command{}
	return command, json.Unmarshal(data, command)
}

func (jsonCodec) MarshalLog(log *release.Log) []byte {
	data, _ := json.Marshal(log)
	return data
}

func (jsonCodec) UnmarshalLog(data []byte) (*release.Log, error) {
	log := &release.Log{}
	return log, json.Unmarshal(data, log)
}

// fataler is what a cluster needs of a *testing.T or *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// link is one direction between two voters.
type link struct{ from, to string }

// delivery is a message on its way.
type delivery struct {
	at float64
	link
	message Message
}

// simulatedCluster runs voters in simulated time over a network that delays, loses, duplicates and
// partitions. It fails the test where an epoch has two digests, or one position of the release log
// two states, whatever any voter ever knew.
type simulatedCluster struct {
	t           fataler
	random      *rand.Rand
	now         float64
	names       []string
	voters      map[string]*Voter // nil while one is down
	paused      map[string]bool   // stopped processes, for which messages wait
	cut         map[link]bool
	lossRate    float64
	startCount  int
	inFlight    []delivery
	waiting     map[string][]Message // for paused voters
	digests     map[release.Epoch]string
	states      map[string]string // release log by position
	results     map[uint64]error  // by command ID
	lastCommand uint64            // its ID
}

func newSimulatedCluster(t fataler, seed uint64, size int) *simulatedCluster {
	c := &simulatedCluster{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 7)),
		voters:  map[string]*Voter{},
		paused:  map[string]bool{},
		cut:     map[link]bool{},
		waiting: map[string][]Message{},
		digests: map[release.Epoch]string{},
		states:  map[string]string{},
		results: map[uint64]error{},
	}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("v%d", i+1))
	}
	for _, name := range c.names {
		c.start(name)
	}
	return c
}

// start starts a voter, or restarts it without its log.
func (c *simulatedCluster) start(name string) {
	c.startCount++
	config := Config{Name: name, Voters: c.names, Seed: int64(c.startCount), Codec: jsonCodec{}}
	c.voters[name] = NewVoter(config, c.now, clusterIDEpoch+1000+c.now)
	c.waiting[name] = nil
	c.paused[name] = false
}

// running returns a voter that is up and not paused, or nil.
func (c *simulatedCluster) running(name string) *Voter {
	if c.paused[name] {
		return nil
	}
	return c.voters[name]
}

// transmitted returns a message as it comes out of the network: it shares no raft message with the
// sender.
func transmitted(message Message) Message {
	if message.Raft != nil {
		message.Raft = proto.Clone(message.Raft).(*pb.Message)
	}
	return message
}

// collect sends what a voter has to send, and takes its results.
func (c *simulatedCluster) collect(name string) {
	voter := c.voters[name]
	for _, envelope := range voter.TakeOutbox() {
		for range 1 + c.random.IntN(11)/10 { // one in eleven is duplicated
			if c.cut[link{name, envelope.VoterName}] || c.random.Float64() < c.lossRate {
				continue
			}
			c.inFlight = append(c.inFlight, delivery{
				at:      c.now + 0.001 + 0.02*c.random.ExpFloat64(),
				link:    link{name, envelope.VoterName},
				message: transmitted(envelope.Message),
			})
		}
	}
	for _, result := range voter.TakeResults() {
		if result.Command.ID != 0 {
			c.results[result.Command.ID] = result.Err
		}
	}
	c.checkAgreement(voter.ReleaseLog())
}

// checkAgreement compares what a voter knows with all that any voter ever knew.
func (c *simulatedCluster) checkAgreement(log *release.Log) {
	c.t.Helper()
	for _, version := range []*release.Version{&log.Current, log.Next} {
		if version == nil || version.Epoch == 0 {
			continue
		}
		if digest, seen := c.digests[version.Epoch]; seen && digest != version.Digest {
			c.t.Fatalf("epoch %s has two digests at %.3f", version.Epoch, c.now)
		}
		c.digests[version.Epoch] = version.Digest
	}
	position := fmt.Sprintf("%d/%d", log.Current.Epoch.ClusterID(), log.AppliedCount)
	state := string(jsonCodec{}.MarshalLog(log))
	if other, seen := c.states[position]; seen && other != state {
		c.t.Fatalf("position %s has two states at %.3f:\n%s\n%s", position, c.now, other, state)
	}
	c.states[position] = state
}

// run lets time pass.
func (c *simulatedCluster) run(seconds float64) {
	c.t.Helper()
	for end := c.now + seconds; c.now < end; {
		c.now += 0.005
		if len(c.inFlight) > 20000 {
			c.t.Fatalf("over 20000 messages in flight at %.3f: %s", c.now, c.describe())
		}
		c.deliverDue()
		for _, name := range c.names {
			if voter := c.running(name); voter != nil && voter.NextWakeup() <= c.now {
				voter.Tick(c.now)
				c.collect(name)
			}
		}
	}
}

func (c *simulatedCluster) deliverDue() {
	slices.SortStableFunc(c.inFlight, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		next := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.deliver(next)
	}
}

func (c *simulatedCluster) deliver(next delivery) {
	voter := c.voters[next.to]
	switch {
	case voter == nil || c.cut[next.link]:
	case c.paused[next.to]:
		if len(c.waiting[next.to]) < 500 {
			c.waiting[next.to] = append(c.waiting[next.to], next.message)
		}
	default:
		voter.HandleMessage(c.now, &next.message)
		c.collect(next.to)
	}
}

// resume lets a paused voter go on with what came meanwhile.
func (c *simulatedCluster) resume(name string) {
	c.paused[name] = false
	for _, message := range c.waiting[name] {
		if voter := c.voters[name]; voter != nil {
			voter.HandleMessage(c.now, &message)
			c.collect(name)
		}
	}
	c.waiting[name] = nil
}

// heal starts, resumes and connects all voters, and waits until they agree on a leader.
func (c *simulatedCluster) heal() {
	c.t.Helper()
	clear(c.cut)
	c.lossRate = 0
	for _, name := range c.names {
		if c.voters[name] == nil {
			c.start(name)
		}
		c.resume(name)
	}
	for range 200 {
		c.run(0.2)
		leaders, joined := 0, 0
		for _, voter := range c.voters {
			if voter.Joined() {
				joined++
			}
			if voter.IsLeader(c.now - 1) {
				leaders++
			}
		}
		if leaders == 1 && joined == len(c.names) {
			return
		}
	}
	c.t.Fatalf("no leader 40 s after all was healed, at %.1f: %s", c.now, c.describe())
}

func (c *simulatedCluster) describe() string {
	var text strings.Builder
	for _, name := range c.names {
		voter := c.voters[name]
		if voter == nil {
			continue
		}
		clusterID, term := voter.Term()
		fmt.Fprintf(&text, "%s incarnation %x cluster %d term %d leader %q applied %d voters %v; ",
			name, voter.incarnation, clusterID, term, voter.Leader(),
			voter.releaseLog.AppliedCount, voter.releaseLog.Voters)
	}
	return text.String()
}

// releaseCommand releases a text for all servers at once.
func releaseCommand(author, text string, expected release.Epoch) *release.Command {
	return &release.Command{
		Kind:          release.KindRelease,
		Author:        author,
		ExpectedEpoch: expected,
		Text:          text,
		Digest:        release.Digest(text, ""),
	}
}

// release proposes a release to one voter, based on the newest epoch it knows, until the command is
// committed or the time is up. It returns whether it was committed, and why it was refused.
func (c *simulatedCluster) release(name, text string, seconds float64) (committed bool, refusal error) {
	c.t.Helper()
	c.lastCommand++
	voter := c.voters[name]
	if voter == nil {
		return false, nil
	}
	command := releaseCommand("operator "+name, text, voter.ReleaseLog().NewestEpoch())
	command.ID = c.lastCommand
	for end := c.now + seconds; c.now < end; c.run(0.3) {
		if refusal, committed := c.results[command.ID]; committed {
			return true, refusal
		}
		if voter := c.running(name); voter != nil {
			voter.Propose(command)
			c.collect(name)
		}
	}
	return false, nil
}
