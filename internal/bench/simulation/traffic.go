package simulation

// traffic is what the nodes of a fleet sent in a second.
type traffic struct {
	meanBytes float64 // of a node
	maxBytes  float64 // of the node that sent most
	messages  float64 // of all nodes
}

// trafficTotals returns the messages and the bytes that each node has sent so far.
func (t *fleetSim) trafficTotals() (messages, bytes []float64) {
	for _, one := range t.nodes {
		messages = append(messages, float64(one.messagesSent))
		bytes = append(bytes, float64(one.bytesSent))
	}
	return messages, bytes
}

// measureTraffic lets some seconds pass and returns what was sent meanwhile.
func (t *fleetSim) measureTraffic(seconds float64) (measured traffic) {
	messagesBefore, bytesBefore := t.trafficTotals()
	t.run(t.now + seconds)
	messages, bytes := t.trafficTotals()
	for i := range messages {
		rate := (bytes[i] - bytesBefore[i]) / seconds
		measured.meanBytes += rate / float64(len(messages))
		measured.maxBytes = max(measured.maxBytes, rate)
		measured.messages += (messages[i] - messagesBefore[i]) / seconds
	}
	return measured
}
