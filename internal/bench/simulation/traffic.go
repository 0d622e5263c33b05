package simulation

// traffic is what the nodes of a fleet sent a second, on average over a measurement.
type traffic struct {
	meanBytes    float64 // of a node
	maxBytes     float64 // of the node that sent most
	meanMessages float64 // of a node
	messages     float64 // of all nodes
}

// trafficTotals returns the messages and the bytes that each node has sent so far.
func (f *fleetSim) trafficTotals() (messages, bytes []float64) {
	for _, one := range f.nodes {
		messages = append(messages, float64(one.messagesSent))
		bytes = append(bytes, float64(one.bytesSent))
	}
	return messages, bytes
}

// measureTraffic lets some seconds pass and returns what was sent meanwhile.
func (f *fleetSim) measureTraffic(seconds float64) (measured traffic) {
	messagesBefore, bytesBefore := f.trafficTotals()
	f.run(f.now + seconds)
	messages, bytes := f.trafficTotals()
	for i := range messages {
		byteRate := (bytes[i] - bytesBefore[i]) / seconds
		measured.meanBytes += byteRate / float64(len(messages))
		measured.maxBytes = max(measured.maxBytes, byteRate)
		messageRate := (messages[i] - messagesBefore[i]) / seconds
		measured.meanMessages += messageRate / float64(len(messages))
		measured.messages += messageRate
	}
	return measured
}
