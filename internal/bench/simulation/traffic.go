package simulation

// traffic is the traffic per second that the nodes of a fleet sent during a measurement.
type traffic struct {
	meanBytes    float64 // per node
	maxBytes     float64 // by the node that sent most
	meanMessages float64 // per node
	messages     float64 // by all nodes
}

// trafficTotals returns the numbers of messages and bytes that each node has sent.
func (f *fleetSim) trafficTotals() (messages, bytes []float64) {
	for _, one := range f.nodes {
		messages = append(messages, float64(one.messagesSent))
		bytes = append(bytes, float64(one.bytesSent))
	}
	return messages, bytes
}

// measureTraffic advances the clock by the given seconds and returns the traffic during that time.
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
