package events

import "go.uber.org/zap/zapcore"

// Levels of events.
const (
	debug = zapcore.DebugLevel
	info  = zapcore.InfoLevel
	warn  = zapcore.WarnLevel
	fault = zapcore.ErrorLevel
)

// Events of the life of a daemon.
var (
	Started = define(100, "started", info,
		"The daemon has read its settings and starts its tasks.", nothing,
		"instance", "zone", "writer", "version")
	Ready = define(101, "ready", info,
		"The daemon has caught up with the log and admits requests.", nothing,
		"instance", "configRevision", "duration")
	Draining = define(102, "draining", info,
		"A planned stop began: new requests are refused, those in progress are finished.", nothing,
		"reason", "inProgress", "timeout")
	Stopped = define(103, "stopped", info,
		"The daemon has ended its tasks and released its slots.",
		"If cutOff is not 0, raise drainTimeout of [instance].",
		"duration", "cutOff", "error")
	SettingsInvalid = define(104, "settingsInvalid", fault,
		"The settings file has errors; the daemon does not start.",
		"Correct the places that the error names; test with `comfreylink check`.",
		"file", "error")
	SettingsChanged = define(105, "settingsChanged", info,
		"The settings file changed. Valid changes of the log level are in force; others need a restart.", nothing,
		"file", "reason")
	ReadinessChanged = define(106, "readinessChanged", info,
		"The answer to the readiness probe changed.", nothing,
		"ready", "reason", "configAge", "configVersion")
	LinesDropped = define(107, "linesDropped", warn,
		"Log lines were left out because they came faster than they could be written.",
		"Raise the log level if it happens often.",
		"count")
)

// Events of the log service and its streams.
var (
	LogContactLost = define(200, "logContactLost", warn,
		"The log service does not answer. What needs a record waits, then is refused as not run.",
		"Check the log service and the network to it.",
		"stream", "operation", "error")
	LogContactRegained = define(201, "logContactRegained", info,
		"The log service answers again.", nothing,
		"stream", "duration")
	EntrySkipped = define(202, "entrySkipped", warn,
		"A log entry or record is malformed, oversized or of unknown type and was not interpreted.",
		"Find the writer. If instances run different versions, finish the upgrade.",
		"stream", "offset", "index", "writer", "reason")
	SnapshotWritten = define(203, "snapshotWritten", info,
		"A snapshot of a stream was appended.", nothing,
		"stream", "parts")
	RecordIgnored = define(204, "recordIgnored", debug,
		"A well-formed record does not count by the rules of its stream.", nothing,
		"stream", "offset", "index", "writer", "reason")
	SnapshotNeeded = define(205, "snapshotNeeded", warn,
		"The log no longer keeps the entries that a reader needs; the reader looks for a snapshot.",
		"If snapshotRestored does not follow, check that the log keeps entries for the retention that the settings say.",
		"stream", "next", "oldest")
	SnapshotRestored = define(206, "snapshotRestored", info,
		"A reader took over the state of a snapshot.", nothing,
		"stream", "offset", "next")
	EntriesFromPeer = define(207, "entriesFromPeer", info,
		"The log cannot be read here; entries of the configuration were taken from another daemon.", nothing,
		"instance", "from", "entries", "configRevision")
	BatchRenumbered = define(208, "batchRenumbered", warn,
		"A batch of this instance had no effect, because its number was used by another batch; it is appended with a new one.",
		"If it happens often, report it with the fields of the event.",
		"stream", "seq", "lastSeq", "kind", "writer", "offset")
	StoreUsed = define(209, "storeUsed", info,
		"Calls to the platform's log since the start, by path.",
		"Compare with docs/CAPACITY.md if the log refuses calls as too many.",
		"calls")
)

// Events of slot ownership.
var (
	SlotClaimed = define(300, "slotClaimed", info,
		"This instance's claim of a slot counts.", nothing,
		"slot", "epoch")
	SlotOpened = define(301, "slotOpened", info,
		"This instance has the state of a slot and serves it.", nothing,
		"slot", "epoch", "duration")
	SlotReleased = define(302, "slotReleased", info,
		"This instance gave up a slot after its calls had finished.", nothing,
		"slot", "epoch")
	SlotLost = define(303, "slotLost", warn,
		"Another instance has claimed a slot of this one.",
		"If it happens often, look for pauses of the process and for slow reads of the log.",
		"slot", "epoch")
)

// Events of other daemons.
var (
	PeerSuspected = define(400, "peerSuspected", warn,
		"Another daemon does not answer; its slots can be claimed after a lease.",
		"If the instance runs, check the network to it.",
		"peer", "writer")
	PeerAlive = define(401, "peerAlive", info,
		"A suspected daemon, perhaps this one, contradicted the suspicion.", nothing,
		"peer", "writer")
	PeerRejected = define(402, "peerRejected", warn,
		"A connection was closed: no certificate of the fleet's authority, or a malformed message.",
		"If the address is one of the daemons, check its certificate and version; otherwise find who connects.",
		"address", "reason")
)

// Events of configuration.
var (
	ConfigAccepted = define(500, "configAccepted", info,
		"A publish came into force.", nothing,
		"object", "revision", "writer")
	ConfigIgnored = define(501, "configIgnored", warn,
		"A publish does not count: it was made from an old revision or is not valid.",
		"Tell its author; `comfreylink get` prints what is in force.",
		"object", "revision", "base", "current", "writer", "reason")
	KeyWithdrawn = define(502, "keyWithdrawn", info,
		"A key no longer works. Its waiting requests end as not run.", nothing,
		"workspace", "label", "revision")
	ConfigStale = define(503, "configStale", warn,
		"The configuration may be out of date; requests are refused with code stale.",
		"Check the log service and the connections between daemons.",
		"revision")
	ConfigFresh = define(504, "configFresh", info,
		"The configuration is up to date again.", nothing,
		"revision", "duration")
)

// Events of requests.
var (
	RequestRefused = define(600, "requestRefused", debug,
		"A request was refused with an error code.", nothing,
		"requestKey", "code", "run", "reason")
	RequestSuspected = define(601, "requestSuspected", warn,
		"A target died while it ran a request; after a second death the request is refused.", nothing,
		"workspace", "fingerprint", "target")
	RequestQuarantined = define(602, "requestQuarantined", fault,
		"A request was refused, because two targets had died while they ran it.",
		"Ask the workspace about the request; report it to the engine's maintainers.",
		"workspace", "fingerprint")
	RetryBudgetUsedUp = define(603, "retryBudgetUsedUp", warn,
		"Requests that could be retried end with an error because too many retries were made.",
		"Look for failing targets.",
		"retryBudget")
	ProgramEndedIdle = define(604, "programEndedIdle", info,
		"Programs were not used for the idle time of the templates and have ended.", nothing,
		"programs", "idle")
	RequestAnswered = define(610, "requestAnswered", info,
		"The gateway answered a request. Reason says why it was refused or failed; run is notRun, ran or unknown.",
		"Follow the request by its id through the other events; see docs/OPERATIONS.md.",
		"requestId", "programId", "sessionId", "workspace", "route", "configVersion", "status", "reason", "run", "target",
		"attempts", "duration", "waited", "firstByte", "events", "cached", "retryAfter")
	RequestSent = define(611, "requestSent", debug,
		"The gateway sent a request to a target.", nothing,
		"requestId", "target", "attempt", "waited", "cached", "left", "reused")
	AttemptFailed = define(612, "attemptFailed", info,
		"A target did not answer a request as it should. Run says whether it may have run there.",
		"If one target stands out, look at it.",
		"requestId", "target", "attempt", "reason", "run", "error", "duration", "events")
	LedgerFailed = define(613, "ledgerFailed", warn,
		"Reservations of tokens could not be written; their turns are refused or broken off.",
		"Check the log service.",
		"stream", "part", "records", "error")
	ChainBroken = define(614, "chainBroken", fault,
		"A remembered turn names a turn before it that the log does not hold.",
		"Report it with the fields of the event.",
		"requestId")
	RateRefused = define(615, "rateRefused", info,
		"The instance that grants a workspace's requests had too little left of its burst: less than one request, or less than the part (spare) that is left to programs that have begun.",
		"Compare level with rate and burst; raise the workspace's rate, or look which programs use it up.",
		"requestId", "workspace", "granter", "level", "rate", "burst", "spare", "programRequests")
	ReportFailed = define(616, "reportFailed", warn,
		"The report of used rates could not be written or read; this instance goes on with its last share.",
		"Check the log service.",
		"operation", "error")
)

// Events of targets.
var (
	TargetDead = define(700, "targetDead", warn,
		"A target does not answer or broke off its answers.",
		"Check the target.",
		"target", "pool")
	TargetLeaving = define(701, "targetLeaving", info,
		"A target is leaving and gets no new work.", nothing,
		"target", "pool")
	TargetBack = define(702, "targetBack", info,
		"A target that was dead or leaving gets work again.", nothing,
		"target", "pool")
	TargetChanged = define(703, "targetChanged", info,
		"A target registered itself or changed its entry.", nothing,
		"target", "service", "address", "draining", "seq")
	TargetRemoved = define(704, "targetRemoved", info,
		"A target's entry was removed; it gets no new work.", nothing,
		"target")
	TargetMoved = define(705, "targetMoved", info,
		"Another target answered at a target's address; the address is not used until the target registers again.", nothing,
		"target", "address")
)

// InternalError is the event of a fault in the daemon.
var InternalError = define(900, "internalError", fault,
	"A fault in the daemon; the request or task it concerns has ended with an error.",
	"Report it with the fields of the event.",
	"task", "slot", "error")
