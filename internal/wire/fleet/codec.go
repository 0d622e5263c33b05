package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// MaxEncodedSize is the largest size of an encoded message, in bytes. The largest message is a
// snapshot of the Raft library with a release log that has reached all of its bounds.
const MaxEncodedSize = 4 << 20

// DecodeError reports a body that can't be decoded. It matches ErrUnknownBody, ErrInvalidSize or
// ErrOutOfRange if the body's content is at fault.
type DecodeError struct {
	From string // name of the sender
	Err  error  // cause, whose text starts with the type of the body
}

// Error names the sender and the cause.
func (e *DecodeError) Error() string { return fmt.Sprintf("message from %q: %v", e.From, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// encoders holds, by kind, the function that encodes the body of an envelope.
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

// Encode encodes a message. It returns ErrUnknownBody for a message without a body, and ErrInvalidSize
// for one over MaxEncodedSize.
func Encode(m *Envelope) ([]byte, error) {
	encodeBody := encoders[m.Kind()]
	if encodeBody == nil {
		return nil, ErrUnknownBody
	}
	body, err := encodeBody(m)
	if err != nil {
		return nil, err
	}
	packet := &Packet{From: m.From, Incarnation: m.Incarnation, Addr: m.Addr, Body: body}
	encoded, err := proto.Marshal(packet)
	if err == nil && len(encoded) > MaxEncodedSize {
		return nil, fmt.Errorf("%w: encoded message of %d bytes, limit %d",
			ErrInvalidSize, len(encoded), MaxEncodedSize)
	}
	return encoded, err
}

// Decode decodes a message and checks all of its bounds. For an error in the body it returns a
// *DecodeError, which names the sender.
func Decode(encoded []byte) (*Envelope, error) {
	if len(encoded) > MaxEncodedSize {
		return nil, fmt.Errorf("%w: encoded message of %d bytes, limit %d",
			ErrInvalidSize, len(encoded), MaxEncodedSize)
	}
	packet := &Packet{}
	if err := proto.Unmarshal(encoded, packet); err != nil {
		return nil, fmt.Errorf("invalid packet encoding: %w", err)
	}
	if err := checkNames(packet.From, packet.Addr); err != nil {
		return nil, err
	}
	m := &Envelope{From: packet.From, Incarnation: packet.Incarnation, Addr: packet.Addr}
	if err := m.decodeBody(packet); err != nil {
		return nil, &DecodeError{From: packet.From, Err: fmt.Errorf("body %T: %w", packet.Body, err)}
	}
	return m, nil
}
