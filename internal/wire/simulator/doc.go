// Package simulator is the codec of shale-6a31, the protocol of the simulator: it reads batches of
// events, one a line, appends replies and maps the names on the wire to the types of package
// admission.
//
// Nothing is decided here. A Reader has the state that parsing needs: its buffers, and which gauges
// each instance was started with. A Writer has the reply that is being written.
//
// The names on the wire and the Go names:
//
//	BORN        ChangeStarted         CRASH_NOW     ChangeCrashed
//	REQ         Arrived               RUN_OVER      RunEnded           CALL_ENDED  CallReturned
//	AT_CALL     AwaitingDownstream    ABANDONED     ClientGone         DRAIN       DrainStarted
//	DEADLINE_HIT TimerFired
//	BEGIN       StartRun              TAKE_OFF      CancelRun          BUSY        Reject
//	LOSE        Fail                  INVOKE        DispatchCall       DEGRADE     Degrade
//	PIN         StoreKey              EVICT         DeleteKey          REUSE       ReuseResult
//	STATUS      SetHealth             HINT_OUT      ReportLoad         REAP_AFTER  SetIdleTimeout
//	SCHEDULE    SetTimer              LOG           LogLine            PANIC       Writer.AddPanic
//
// The settings' keys stand at the fields of Settings.
package simulator
