// Package simulator is the codec of shale-6a31, the protocol of the simulator. It reads batches of
// events, one per line, writes replies, and maps the names on the wire to the types of package
// admission.
//
// It makes no decisions. The state of a Reader is what parsing needs: its buffers and the names of
// the gauges of each instance. The state of a Writer is the reply that is being written.
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
// The keys of the settings are in the tags of type Settings.
package simulator
