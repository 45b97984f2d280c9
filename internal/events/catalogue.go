package events

import "go.uber.org/zap/zapcore"

// Levels of events.
const (
	debug      = zapcore.DebugLevel
	info       = zapcore.InfoLevel
	warn       = zapcore.WarnLevel
	errorLevel = zapcore.ErrorLevel
)

// Events of the life cycle of a daemon.
var (
	Started = define(100, "started", info,
		"The daemon has read its settings and starts its tasks.", noAction,
		"instance", "zone", "writer", "version")
	Ready = define(101, "ready", info,
		"The daemon has caught up with the log and admits requests.", noAction,
		"instance", "configRevision", "duration")
	Draining = define(102, "draining", info,
		"A planned stop began: new requests are refused, those in progress are finished.", noAction,
		"reason", "inProgress", "timeout")
	Stopped = define(103, "stopped", info,
		"The daemon has ended its tasks and released its slots.",
		"If cutOff is not 0, raise drainTimeout of [instance].",
		"duration", "cutOff", "error")
	SettingsInvalid = define(104, "settingsInvalid", errorLevel,
		"The settings file has errors; the daemon does not start.",
		"Correct the settings that the error names; test the file with `comfreylink check`.",
		"file", "error")
	SettingsChanged = define(105, "settingsChanged", info,
		"The settings file has changed. A valid change of the log level applies at once; other changes need a restart.", noAction,
		"file", "reason")
	ReadinessChanged = define(106, "readinessChanged", info,
		"The result of the readiness probe has changed.", noAction,
		"ready", "reason", "configAge", "configVersion")
	LinesDropped = define(107, "linesDropped", warn,
		"Log lines were dropped because they came faster than they could be written.",
		"Raise the log level if it happens often.",
		"count")
)

// Events of the log service and its streams.
var (
	LogContactLost = define(200, "logContactLost", warn,
		"The log service does not answer. Operations that need a log record wait, and are then refused as not run.",
		"Check the log service and the network to it.",
		"stream", "operation", "error")
	LogContactRegained = define(201, "logContactRegained", info,
		"The log service answers again.", noAction,
		"stream", "duration")
	EntrySkipped = define(202, "entrySkipped", warn,
		"A log entry or record is malformed, oversized or of unknown type and was not interpreted.",
		"Find the writer. If instances run different versions, finish the upgrade.",
		"stream", "offset", "index", "writer", "reason")
	SnapshotWritten = define(203, "snapshotWritten", info,
		"A snapshot of a stream was appended.", noAction,
		"stream", "parts")
	RecordIgnored = define(204, "recordIgnored", debug,
		"A well-formed record was rejected by the rules of its stream.", noAction,
		"stream", "offset", "index", "writer", "reason")
	SnapshotNeeded = define(205, "snapshotNeeded", warn,
		"The log no longer keeps the entries that a reader needs; the reader looks for a snapshot.",
		"If snapshotRestored does not follow, check that the log service keeps entries for the retention time in the settings.",
		"stream", "next", "oldest")
	SnapshotRestored = define(206, "snapshotRestored", info,
		"A reader restored its state from a snapshot.", noAction,
		"stream", "offset", "next")
	EntriesFromPeer = define(207, "entriesFromPeer", info,
		"This instance cannot read the log; it received entries of the configuration from another daemon.", noAction,
		"peer", "from", "entries", "configRevision")
	BatchRenumbered = define(208, "batchRenumbered", warn,
		"A batch of this instance had no effect because another batch had used its number; it is appended again with a new number.",
		"If it happens often, report it with the fields of the event.",
		"stream", "seq", "lastSeq", "kind", "writer", "offset")
	StoreUsed = define(209, "storeUsed", info,
		"Calls to the platform's log that ended in the interval since the last such event, by topic (turns and programs: by keyspace), call and kind, with their outcomes: answered, throttled (status 429), refused (status 503), unanswered (given up, or the connection was lost) and notSent (no connection). Calls without another kind count as reservation. unansweredMs is the time that the unanswered calls took together, in ms; sent and received are bytes of bodies. At most 24 rows, those with the most calls that were not answered first; the rest, and further topics, count as other. Logged every 10 s, and every 2 s while more than a tenth of the calls are not answered, or refused.",
		"If one topic has most of the calls that are not answered, see docs/OPERATIONS.md (one partition of the log is overloaded). Compare with docs/CAPACITY.md if the log throttles calls.",
		"interval", "calls")
	PartitionLost = define(210, "partitionLost", warn,
		"One partition of the log does not answer this instance. Calls to it go through other instances if these reach it; calls to other partitions are not affected.",
		"Check the partition at the log service.",
		"stream", "part", "error")
	PartitionRegained = define(211, "partitionRegained", info,
		"A partition of the log answers again.", noAction,
		"stream", "part", "duration")
	ReaderFailed = define(212, "readerFailed", warn,
		"The instance that reads a partition of the log for its zone did not answer, or could not read the log. This instance asks the next one, or the log, and not that reader for 2 s.",
		"If it goes on, check the reader and the connections between the instances.",
		"stream", "part", "reader", "error")
	LogRateLowered = define(215, "logRateLowered", warn,
		"The log throttled calls of this instance, which makes fewer from now on. Class is append or read, from and to are rates in calls per second, count is how often the rate was lowered since the last such event, and queued is how many calls wait.",
		"If it goes on, compare the appends of all instances (209) with the log's limit in the settings (callsPerSecond).",
		"class", "from", "to", "count", "queued")
	LogRefusesInstance = define(216, "logRefusesInstance", warn,
		"The log throttles every call of this instance, which is no overload of all instances: its calls go through other instances. Refused is false when the log accepts a call again.",
		"If it goes on, find out why the log refuses the instance.",
		"refused")
)

// Events of slot ownership.
var (
	SlotClaimed = define(300, "slotClaimed", info,
		"This instance's claim of a slot was accepted.", noAction,
		"slot", "epoch")
	SlotOpened = define(301, "slotOpened", info,
		"This instance has the state of a slot and serves it.", noAction,
		"slot", "epoch", "duration")
	SlotReleased = define(302, "slotReleased", info,
		"This instance gave up a slot after its calls had finished.", noAction,
		"slot", "epoch")
	SlotLost = define(303, "slotLost", warn,
		"Another instance has claimed a slot of this one.",
		"If it happens often, look for pauses of the process and for slow reads of the log.",
		"slot", "epoch")
)

// Events of other daemons.
var (
	PeerSuspected = define(400, "peerSuspected", warn,
		"Another daemon does not answer; the other daemons may claim its slots after the lease time.",
		"If the instance runs, check the network to it.",
		"peer", "writer")
	PeerAlive = define(401, "peerAlive", info,
		"A suspected daemon, possibly this one, contradicted the suspicion.", noAction,
		"peer", "writer")
	PeerRejected = define(402, "peerRejected", warn,
		"A connection was closed because the peer had no certificate of the fleet's authority or sent a malformed message.",
		"If the address is one of the daemons, check its certificate and version; otherwise find out who connects.",
		"address", "reason")
)

// Events of configuration.
var (
	ConfigAccepted = define(500, "configAccepted", info,
		"A published document came into force.", noAction,
		"object", "revision", "writer")
	ConfigIgnored = define(501, "configIgnored", warn,
		"A published document was rejected because it is based on an old revision or is not valid.",
		"Tell its author; `comfreylink get` prints what is in force.",
		"object", "revision", "base", "current", "writer", "reason")
	KeyWithdrawn = define(502, "keyWithdrawn", info,
		"A key no longer works. Its waiting requests end as not run.", noAction,
		"workspace", "label", "revision")
	ConfigStale = define(503, "configStale", warn,
		"The configuration may be out of date; requests are refused with code stale.",
		"Check the log service and the connections between daemons.",
		"revision")
	ConfigFresh = define(504, "configFresh", info,
		"The configuration is up to date again.", noAction,
		"revision", "duration")
)

// Events of requests.
var (
	RequestRefused = define(600, "requestRefused", debug,
		"A request was refused with an error code.", noAction,
		"requestKey", "code", "run", "reason")
	RequestSuspected = define(601, "requestSuspected", warn,
		"A target died while it ran a request; after a second death the request is refused.", noAction,
		"workspace", "fingerprint", "target")
	RequestQuarantined = define(602, "requestQuarantined", errorLevel,
		"A request was refused, because two targets had died while they ran it.",
		"Ask the workspace about the request; report it to the engine's maintainers.",
		"workspace", "fingerprint")
	RetryBudgetUsedUp = define(603, "retryBudgetUsedUp", warn,
		"Requests that could be retried end with an error because too many retries were made.",
		"Look for failing targets.",
		"retryBudget")
	ProgramEndedIdle = define(604, "programEndedIdle", info,
		"Programs have ended because they were idle for the idle timeout of their templates.", noAction,
		"programs", "idle")
	RequestAnswered = define(610, "requestAnswered", info,
		"The gateway answered a request. Reason says why it was refused or failed; run is notRun, ran or unknown. With cut, the answer had begun and its connection was closed before its end.",
		"Follow the request by its id through the other events; see docs/OPERATIONS.md.",
		"requestId", "programId", "sessionId", "workspace", "route", "configVersion", "status", "reason", "run", "target",
		"attempts", "duration", "waited", "firstByte", "events", "cached", "retryAfter", "previousTurn", "cut", "error")
	RequestSent = define(611, "requestSent", debug,
		"The gateway sent a request to a target.", noAction,
		"requestId", "target", "attempt", "waited", "cached", "left", "reused")
	AttemptFailed = define(612, "attemptFailed", info,
		"An attempt at a target failed. Run says whether the request may have run there.",
		"If one target fails more often than others, check it.",
		"requestId", "target", "attempt", "reason", "run", "error", "duration", "events")
	LedgerFailed = define(613, "ledgerFailed", warn,
		"Reservations of tokens could not be written; their turns are refused or aborted.",
		"Check the log service.",
		"stream", "part", "records", "error")
	ChainBroken = define(614, "chainBroken", errorLevel,
		"The log lacks a turn that a remembered later turn refers to.",
		"Report it with the fields of the event.",
		"requestId", "turn")
	RateRefused = define(615, "rateRefused", info,
		"A request was refused because too little of the workspace's burst was left at the instances that grant its requests: less than one request, or less than the reserve (spare) for running programs. With unavailable, parts of the limit could not be asked: unanswered has the owner of each, the age of its last report, and the calls that failed.",
		"Compare tokens with rate and burst; raise the workspace's rate, or find the programs that use it up. With unavailable, look for the owner of the part (618, 619). A call with the outcome paused was not made, because the instance had not answered the last ones.",
		"requestId", "workspace", "granter", "tokens", "unavailable", "rate", "burst", "spare", "programRequests", "maxWait", "retryAfter", "unanswered")
	ReportFailed = define(616, "reportFailed", warn,
		"This instance could not write its report of owned shards, crashed targets and completed suspected requests, or could not read the reports of the others. It adds what was not written to its next report, and continues to read where it stopped. Waited is how long all calls of the operation took, appendWaited how long the report's append did, and appended whether it was written. Failures is how often the operation has failed in a row.",
		"Check the log service. If appendWaited is near 500ms and 209 shows unanswered appends to reports, see docs/OPERATIONS.md (one partition of the log is overloaded).",
		"operation", "waited", "appendWaited", "appended", "failures", "error")
	RateGranted = define(617, "rateGranted", info,
		"This instance granted requests of a workspace since its last report, withReserve of them to requests that must leave a reserve (first requests of programs, and those of very long programs). Parts is how many parts of the limit it owns, tokens what their buckets hold, and lease how long it may grant without another report.",
		"Add up granted over all instances to see what a workspace got.",
		"workspace", "granted", "withReserve", "tokens", "parts", "rate", "burst", "lease")
	ShardsClaimed = define(618, "shardsClaimed", info,
		"This instance owns shards of the rate limits from now on, because they were free. Their buckets began empty when the earlier owner's lease ended.", noAction,
		"shards", "lease")
	ShardsLost = define(619, "shardsLost", warn,
		"Another instance has claimed shards of this instance after its lease had ended.",
		"Look for what kept this instance from writing or reading reports (616, 200) for the time of a lease.",
		"shards", "owner")
	TurnsDropped = define(620, "turnsDropped", info,
		"Turns that no other turn has needed for longer than keep were dropped from memory. They are read again if they are continued after all.", noAction,
		"count", "kept", "keep")
	TurnNotFound = define(621, "turnNotFound", info,
		"A request continues a turn that is in no partition or belongs to another workspace, the owner, so it was answered that there is no such turn. Reads has the instance that read each partition and the offset up to which it had read.",
		"If another event 610 has the turn's id as its requestId with status 200, report both.",
		"turn", "programId", "workspace", "owner", "reads")
	ShardsGivenUp = define(622, "shardsGivenUp", warn,
		"Other instances reported that this one does not answer their calls for grants from shards that it owns, and it has answered too few others lately. It releases the shards, so that others claim them.",
		"Look for what keeps other instances from reaching this one, or it from answering in time.",
		"shards")
	AdmissionRefused = define(630, "admissionRefused", info,
		"Requests were refused as not run, because their records would not be written to the log in time. Reason is failing, stalled or slow; count is the number of requests since the last such event, first how many of them were first requests of programs. Write is the expected time of a write, retryAfter the last answer's.",
		"Check the log service and the rate of calls to it (215).",
		"reason", "count", "first", "write", "waiting", "retryAfter")
	LeaderFailed = define(640, "leaderFailed", warn,
		"The instance that leads a partition of the log did not answer a call, nor a second one or whether it is alive. This instance calls the next one in the order for 2 s, and then until the leader says that it is alive. It acts itself if none of four in a row answers.",
		"If it goes on, check the leader and the connections between the instances.",
		"stream", "part", "leader", "error")
)

// Events of targets.
var (
	TargetDead = define(700, "targetDead", warn,
		"A target does not answer or aborts its answers.",
		"Check the target.",
		"target", "pool")
	TargetLeaving = define(701, "targetLeaving", info,
		"A target is leaving and gets no new work.", noAction,
		"target", "pool")
	TargetBack = define(702, "targetBack", info,
		"A target that was dead or leaving gets work again.", noAction,
		"target", "pool")
	TargetChanged = define(703, "targetChanged", info,
		"A target registered itself or changed its entry.", noAction,
		"target", "service", "address", "draining", "seq")
	TargetRemoved = define(704, "targetRemoved", info,
		"A target's entry was removed; it gets no new work.", noAction,
		"target")
	TargetMoved = define(705, "targetMoved", info,
		"Another target answered at the address of a target; the address is not used until the target registers again.", noAction,
		"target", "address")
	TargetAnnouncedLeaving = define(706, "targetAnnouncedLeaving", info,
		"A target said in an answer that it is leaving; it gets no new work from this instance, whatever its entry says.", noAction,
		"requestId", "target", "address")
	ZoneEvacuated = define(707, "zoneEvacuated", info,
		"A zone is evacuated: its targets get no new requests from this instance, and those that run there are finished. Known is false if the zone is in no setting and has no target.",
		"If known is false, check the spelling of the zone.",
		"zone", "known")
	EvacuationRevoked = define(708, "evacuationRevoked", info,
		"The evacuation of a zone was revoked; its targets get requests again, within a few seconds.", noAction,
		"zone")
	ZoneEmpty = define(709, "zoneEmpty", info,
		"No request of this instance runs in the evacuated zone any more.",
		"The zone may be shut down when every instance has logged this event.",
		"zone", "duration")
	TargetCold = define(710, "targetCold", info,
		"A target is cold. All instances together send it rate requests a second and at most burst at once, each with a grant from the owner of the target's limit. Rate 0 means that its service has no limit for cold targets.", noAction,
		"target", "service", "left", "rate", "burst")
	ColdNotGranted = define(711, "coldNotGranted", debug,
		"A request was not granted to a cold target and goes to another one. This instance leaves the target alone for hold.",
		"If all requests of a cold target are not granted and granter is empty, look for the owner of its limit (618, 619).",
		"requestId", "target", "granter", "unavailable", "retryAfter", "hold")
	FigureIgnored = define(712, "figureIgnored", warn,
		"A value that is malformed or absurd was left out; everything else from the same source was used.",
		"Correct the value at its source.",
		"source", "target", "reason")
	ZoneShareChanged = define(720, "zoneShareChanged", info,
		"The share of a service's requests that may leave the instance's zone has changed. The loads are those of the own zone and of the others together.",
		"If it stays above 0, the zone has too few targets.",
		"service", "share", "free", "slots", "callSeconds", "othersFree", "othersSlots", "othersCallSeconds", "cost")
)

// InternalError is the event of a bug in the daemon or of an error that it cannot handle.
var InternalError = define(900, "internalError", errorLevel,
	"An internal error of the daemon; the request or task that it concerns has ended with an error.",
	"Report it with the fields of the event.",
	"task", "slot", "error")
