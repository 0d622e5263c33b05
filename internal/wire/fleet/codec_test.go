package fleet

import (
	"encoding/hex"
	"errors"
	"math"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/circuitbreaker"
	"swiftcourse/internal/policy/consensus"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/release"
)

func TestEnvelope_RoundTrip(t *testing.T) {
	for _, m := range sampleEnvelopes(t) {
		t.Run(m.Kind().String(), func(t *testing.T) {
			m.From = "n9"
			m.Incarnation = 77
			encoded, err := Encode(m)
			if err != nil {
				t.Fatalf("Encode: %v", err)
			}
			decoded, err := Decode(encoded)
			if err != nil {
				t.Fatalf("Decode: %v", err)
			}
			if m.Consensus != nil && m.Consensus.Raft != nil {
				if !proto.Equal(m.Consensus.Raft, decoded.Consensus.Raft) {
					t.Errorf("Raft message: got %v, want %v", decoded.Consensus.Raft, m.Consensus.Raft)
				}
				return
			}
			if !reflect.DeepEqual(m, decoded) {
				t.Errorf("got %+v, want %+v", decoded, m)
			}
		})
	}
}

// Servers of different releases exchange messages, so a message has to be encoded to the same bytes
// as by earlier releases. testdata/envelopes.hex has the bytes of each sample as an earlier release
// encoded them.
func TestEncode_SameBytesAsEarlierReleases(t *testing.T) {
	golden, err := os.ReadFile("testdata/envelopes.hex")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(golden))
	samples := sampleEnvelopes(t)
	if len(lines) != len(samples) {
		t.Fatalf("%d samples, but %d lines in testdata/envelopes.hex", len(samples), len(lines))
	}
	for i, m := range samples {
		t.Run(m.Kind().String(), func(t *testing.T) {
			m.From = "n9"
			m.Incarnation = 77
			m.Addr = "10.0.0.9:7946"
			encoded, err := Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(sortMaps(t, encoded)); got != lines[i] {
				t.Errorf("got  %s\nwant %s", got, lines[i])
			}
		})
	}
}

// sortMaps encodes a packet again with its maps sorted by key, since Encode has them in random
// order.
func sortMaps(t *testing.T, encoded []byte) []byte {
	t.Helper()
	packet := &Packet{}
	if err := proto.Unmarshal(encoded, packet); err != nil {
		t.Fatal(err)
	}
	sorted, err := proto.MarshalOptions{Deterministic: true}.Marshal(packet)
	if err != nil {
		t.Fatal(err)
	}
	return sorted
}

func TestKind_EachHasNameEncoderAndSample(t *testing.T) {
	seen := map[Kind]bool{}
	for _, m := range sampleEnvelopes(t) {
		seen[m.Kind()] = true
	}
	names := map[string]bool{}
	for kind := KindNone; kind < KindCount; kind++ {
		names[kind.String()] = true
		if kind != KindNone && !seen[kind] {
			t.Errorf("no sample envelope of kind %s", kind)
		}
		if (encoders[kind] != nil) != (kind != KindNone) {
			t.Errorf("kind %s: has an encoder: %t, want %t", kind, encoders[kind] != nil, kind != KindNone)
		}
	}
	if len(names) != int(KindCount) || names[""] || KindCount.String() != "unknown" {
		t.Errorf("kind names %v: want %d different ones, none empty; name after the last kind: got %q, want unknown",
			names, KindCount, KindCount)
	}
	if kind := (&Envelope{}).Kind(); kind != KindNone {
		t.Errorf("kind of an empty envelope: got %s, want %s", kind, KindNone)
	}
}

// boundCase is a message that Encode accepts and Decode must reject with the error want.
type boundCase struct {
	name     string
	envelope *Envelope
	want     error
}

func TestDecode_RejectsOutOfBounds(t *testing.T) {
	for _, test := range slices.Concat(tooLargeCases(), outOfRangeCases()) {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := Encode(test.envelope)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(encoded)
			if !errors.Is(err, test.want) {
				t.Errorf("Decode: got %+v, error %v; want error %v", decoded, err, test.want)
			}
		})
	}
}

func tooLargeCases() []boundCase {
	long := strings.Repeat("x", maxName+1)
	many := map[string]uint64{}
	for i := range maxShortListEntries + 1 {
		many[strings.Repeat("y", i%200)+string(rune('a'+i%26))+strings.Repeat("z", i/200)] = 1
	}
	detached := &consensus.Heartbeat{Name: "v", DetachedVoters: many}
	intervals := make([]audit.Interval, maxShortListEntries+1)
	demands := make([]quota.Demand, quota.MaxEntries+1)
	reports := make([]circuitbreaker.Report, circuitbreaker.MaxReports+1)
	return []boundCase{
		{"long sender name", &Envelope{From: long, VersionRequest: 3}, ErrInvalidSize},
		{"long server name", &Envelope{LeaseRequest: &lease.Request{Name: long}}, ErrInvalidSize},
		{
			"long version text",
			&Envelope{Version: &release.Version{Text: strings.Repeat("t", maxText+1)}},
			ErrInvalidSize,
		},
		{
			"many waves",
			&Envelope{Command: &release.Command{Waves: make([]float64, maxShortListEntries+1)}},
			ErrInvalidSize,
		},
		{"many intervals", &Envelope{AccountSummary: &audit.Account{Intervals: intervals}}, ErrInvalidSize},
		{
			"many names",
			&Envelope{StateRequest: &StateRequest{Names: make([]string, maxLongListEntries+1)}},
			ErrInvalidSize,
		},
		{"many detached voters", &Envelope{Consensus: &consensus.Message{Heartbeat: detached}}, ErrInvalidSize},
		{"many demands", &Envelope{QuotaRequest: &quota.Request{Demands: demands}}, ErrInvalidSize},
		{"long demand name", demandRequest(quota.Demand{Name: long}), ErrInvalidSize},
		{"many health reports", &Envelope{HealthReports: reports}, ErrInvalidSize},
	}
}

func outOfRangeCases() []boundCase {
	raft := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: new(uint64(9)), To: new(uint64(2))}
	grant := quota.Grant{Name: "calls", LeasedShare: math.NaN()}
	return []boundCase{
		{"NaN of completed requests", tallyRequest(math.NaN(), 0), ErrOutOfRange},
		{"more failed than completed requests", tallyRequest(1, 2), ErrOutOfRange},
		{"negative number of requests", tallyRequest(-1, -1), ErrOutOfRange},
		{"infinite lease", &Envelope{LeaseReply: &lease.Reply{LeaseSeconds: math.Inf(1)}}, ErrOutOfRange},
		{"infinite command time", &Envelope{Command: &release.Command{IssuedAt: math.Inf(-1)}}, ErrOutOfRange},
		{"negative demand", demandRequest(quota.Demand{Name: "calls", Requested: -1}), ErrOutOfRange},
		{"NaN grant", &Envelope{QuotaReply: &quota.Reply{Grants: []quota.Grant{grant}}}, ErrOutOfRange},
		{"negative report age", &Envelope{HealthReports: []circuitbreaker.Report{{AgeSeconds: -1}}}, ErrOutOfRange},
		{
			"Raft message from another voter",
			&Envelope{Consensus: &consensus.Message{From: 1, To: 2, Raft: raft}},
			ErrOutOfRange,
		},
	}
}

func tallyRequest(completed, failed float64) *Envelope {
	tally := release.ErrorTally{Completed: completed, Failed: failed}
	return &Envelope{LeaseRequest: &lease.Request{ErrorTally: tally}}
}

func demandRequest(demand quota.Demand) *Envelope {
	return &Envelope{QuotaRequest: &quota.Request{Demands: []quota.Demand{demand}}}
}

func TestDecode_RejectsLargePacket(t *testing.T) {
	if _, err := Decode(make([]byte, MaxEncodedSize+1)); !errors.Is(err, ErrInvalidSize) {
		t.Errorf("Decode of %d bytes: got error %v, want %v", MaxEncodedSize+1, err, ErrInvalidSize)
	}
}

func TestDecode_ErrorNamesSender(t *testing.T) {
	encoded, err := Encode(&Envelope{From: "n9", LeaseReply: &lease.Reply{LeaseSeconds: -1}})
	if err != nil {
		t.Fatal(err)
	}
	_, err = Decode(encoded)
	var decodeError *DecodeError
	if !errors.As(err, &decodeError) || decodeError.From != "n9" {
		t.Errorf("got error %v, want a DecodeError with sender n9", err)
	}
}

func TestEncode_RejectsEmptyEnvelope(t *testing.T) {
	if _, err := Encode(&Envelope{}); !errors.Is(err, ErrUnknownBody) {
		t.Errorf("Encode of an empty envelope: got error %v, want %v", err, ErrUnknownBody)
	}
}

// FuzzDecode checks that Decode either rejects its input or returns an envelope that can be encoded
// and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleEnvelopes(f) {
		encoded, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		m, err := Decode(input)
		if err != nil {
			return
		}
		encoded, err := Encode(m)
		if err != nil {
			t.Fatalf("Encode of the decoded %+v: got error %v, want none", m, err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Fatalf("second Decode of %+v: got error %v, want none", m, err)
		}
	})
}
