package executor

import (
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/processor"
)

// run is the execution of one request. A run that calls the upstream service has two parts, before
// and after the call; every other run has one part.
type run struct {
	id, class         string
	body              []byte
	partCPUSeconds    float64 // of each part
	partsLeft         int
	awaitedCallSerial int64 // serial of the notice that requested its upstream call; 0 unless it waits for the reply
	startedAt         time.Time
}

// startRun starts a run, unless a run with the same id is in progress.
func (s *Server) startRun(command *processor.Command) {
	if s.runs[command.ID] != nil {
		return
	}
	s.stats.Started++
	if s.endedIDs[command.ID] {
		s.stats.RepeatedRuns++
	}
	r := &run{id: command.ID, class: command.Class, body: command.Body, partsLeft: 1, startedAt: time.Now()}
	if s.config.CPUSeconds != nil {
		r.partCPUSeconds = s.config.CPUSeconds(r.class, r.id)
	}
	if s.config.CallsUpstream != nil && s.config.CallsUpstream(r.class, r.id) {
		r.partsLeft = 2
		r.partCPUSeconds /= 2
	}
	s.runs[r.id] = r
	if s.config.OnStart != nil {
		s.config.OnStart(r.id, r.body)
	}
	s.enqueue(r)
}

// resumeRun continues a run that waits for its upstream call, with a reply or without one, and
// rejects commands for other runs or calls.
func (s *Server) resumeRun(command *processor.Command) {
	r := s.runs[command.ID]
	wrongCall := r != nil && command.Kind == processor.CommandSkipCall && command.Serial != r.awaitedCallSerial
	if r == nil || r.awaitedCallSerial == 0 || wrongCall {
		s.write(processor.AppendRejected(nil, command.Kind, command.ID))
		return
	}
	r.awaitedCallSerial = 0
	s.enqueue(r)
}

// enqueue appends the next part of a run to the queue of parts that wait for a core.
func (s *Server) enqueue(r *run) {
	s.waitingRuns = append(s.waitingRuns, r)
	s.schedule()
}

// schedule starts waiting parts as long as cores are free.
func (s *Server) schedule() {
	for len(s.waitingRuns) > 0 && s.busyCores < s.config.Cores {
		r := s.waitingRuns[0]
		s.waitingRuns = s.waitingRuns[1:]
		if r.partCPUSeconds <= 0 {
			s.finishPart(r)
			continue
		}
		s.busyCores++
		time.AfterFunc(seconds(r.partCPUSeconds), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.busyCores--
			s.finishPart(r)
			s.schedule()
		})
	}
}

// finishPart ends a part of a run. After the first of two parts the run requests its upstream call;
// after its last part it ends with its result.
func (s *Server) finishPart(r *run) {
	r.partsLeft--
	if r.partsLeft > 0 {
		s.callUpstream(r)
		return
	}
	s.endRun(r)
	if s.config.Result != nil {
		r.body = s.config.Result(r.id, r.body)
	}
	s.notifyEnded(r, admission.Finished, r.body)
}

// callUpstream asks the server to make the run's upstream call, and cancels the run if there is no
// reply within CallTimeoutSeconds.
func (s *Server) callUpstream(r *run) {
	s.stats.UpstreamCalls++
	s.notify(func(b []byte, serial int64) []byte {
		r.awaitedCallSerial = serial
		return processor.AppendAwaitingCall(b, serial, r.id, r.body)
	})
	if s.config.CallTimeoutSeconds <= 0 {
		return
	}
	call := r.awaitedCallSerial
	time.AfterFunc(seconds(s.config.CallTimeoutSeconds), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.runs[r.id] == r && r.awaitedCallSerial == call {
			s.endRun(r)
			s.notifyEnded(r, admission.Cancelled, nil)
		}
	})
}

// notifyEnded notifies the server that a run has ended.
func (s *Server) notifyEnded(r *run, outcome admission.Outcome, result []byte) {
	s.notify(func(b []byte, serial int64) []byte {
		return processor.AppendRunEnded(b, processor.Notice{
			Serial:   serial,
			ID:       r.id,
			Outcome:  outcome,
			Duration: time.Since(r.startedAt).Seconds(),
			Body:     result,
		})
	})
}

// endRun removes a run and keeps its id, by which Stats.Repeated is counted.
func (s *Server) endRun(r *run) {
	s.stats.Ended++
	delete(s.runs, r.id)
	if len(s.endedIDs) >= maxEndedIDs {
		clear(s.endedIDs)
	}
	s.endedIDs[r.id] = true
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
