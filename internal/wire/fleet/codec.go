package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// MaxPacket bounds an encoded message, in bytes: a release log with all of its bounds reached, in a
// copy that the consensus library sends.
const MaxPacket = 4 << 20

// DecodeError is a message that can't be decoded. It matches ErrUnknownBody, ErrTooLarge or
// ErrOutOfRange where its content is at fault.
type DecodeError struct {
	From string // the sender, as far as it was decoded
	Err  error
}

// Error returns the sender and the cause.
func (e *DecodeError) Error() string { return fmt.Sprintf("from %q: %v", e.From, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// encoders has for each kind of envelope what encodes its body.
var encoders = [KindCount]func(m *Envelope) (isPacket_Body, error){
	KindConsensus:          encodeConsensus,
	KindLeaseRequest:       encodeLeaseRequest,
	KindLeaseReply:         encodeLeaseReply,
	KindVersionRequest:     encodeVersionRequest,
	KindVersion:            encodeVersionBody,
	KindCommand:            encodeCommandBody,
	KindCommandResult:      encodeCommandResult,
	KindAccountSummary:     encodeAccountSummary,
	KindStateRequest:       encodeStateRequest,
	KindStateReply:         encodeStateReply,
	KindClaimRequest:       encodeClaimRequest,
	KindClaimReply:         encodeClaimReply,
	KindPullRequest:        encodePullRequest,
	KindPullReply:          encodePullReply,
	KindChecksums:          encodeChecksums,
	KindTrustRequest:       encodeTrustRequest,
	KindTrustRecords:       encodeTrustRecords,
	KindQuotaRequest:       encodeQuotaRequest,
	KindQuotaReply:         encodeQuotaReply,
	KindHealthReports:      encodeHealthReports,
	KindCounterReport:      encodeCounterReport,
	KindCounterAck:         encodeCounterAckBody,
	KindCounterSyncRequest: encodeCounterSyncRequest,
	KindCounterSyncReply:   encodeCounterSyncReply,
	KindForwarderReport:    encodeForwarderReport,
	KindPlanAssignment:     encodePlanAssignment,
}

// Encode encodes a message. One that carries nothing is ErrUnknownBody, one over MaxPacket
// ErrTooLarge.
func Encode(m *Envelope) ([]byte, error) {
	encodeBody := encoders[m.Kind()]
	if encodeBody == nil {
		return nil, ErrUnknownBody
	}
	body, err := encodeBody(m)
	if err != nil {
		return nil, err
	}
	packet := &Packet{From: m.From, Life: m.Incarnation, Addr: m.Addr, Body: body}
	encoded, err := proto.Marshal(packet)
	if err == nil && len(encoded) > MaxPacket {
		return nil, ErrTooLarge
	}
	return encoded, err
}

// Decode decodes a message and checks all of its bounds. Whatever is wrong costs that message alone;
// from the sender on it is a *DecodeError.
func Decode(encoded []byte) (*Envelope, error) {
	if len(encoded) > MaxPacket {
		return nil, ErrTooLarge
	}
	packet := &Packet{}
	if err := proto.Unmarshal(encoded, packet); err != nil {
		return nil, fmt.Errorf("no packet: %w", err)
	}
	if err := checkNames(packet.From, packet.Addr); err != nil {
		return nil, err
	}
	m := &Envelope{From: packet.From, Incarnation: packet.Life, Addr: packet.Addr}
	if err := m.decodeBody(packet); err != nil {
		return nil, &DecodeError{From: packet.From, Err: err}
	}
	return m, nil
}

// decodeBody finds the concern that knows the packet's body.
func (m *Envelope) decodeBody(packet *Packet) error {
	for _, decode := range decoders {
		if known, err := decode(m, packet); known {
			return err
		}
	}
	return ErrUnknownBody
}

// decoders decode the bodies of one concern each; they report whether they know the packet's.
var decoders = [...]func(m *Envelope, packet *Packet) (known bool, err error){
	decodeControlBody,
	decodeReleaseBody,
	decodeReplicationBody,
	decodeSharedBody,
	decodeCounterBody,
	decodeLoadPlanBody,
}
