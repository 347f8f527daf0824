package result

// Codes of the caller protocol. A request with any of them is not sent to an instance.
const (
	MalformedStartup     Code = 1001
	AuthenticationFailed Code = 1002
	UnknownDatabase      Code = 1003
	StatementTooLarge    Code = 1004
	CopyNotCarried       Code = 1005
	ProtocolViolation    Code = 1006
	TooManyCallers       Code = 1007
	NotCarried           Code = 1008
	MalformedOption      Code = 1009
	EncryptionRequired   Code = 1010
	UnknownStatement     Code = 1011
)

// Codes of requests that did not run.
const (
	Overloaded           Code = 2001
	NoPrimary            Code = 2002
	NoReplica            Code = 2003
	ShuttingDown         Code = 2004
	InstanceLeaving      Code = 2005
	NoManifest           Code = 2006
	DeadlinePassed       Code = 2007
	NotPrimary           Code = 2008
	InstanceBehind       Code = 2009
	InstanceUnreachable  Code = 2010
	HomeUnreachable      Code = 2011
	ConnectionsExhausted Code = 2012
	CancelledUnsent      Code = 2013
	NoMajority           Code = 2014
	RequestCancelled     Code = 2015
	InstanceRefuses      Code = 2016
	RolledBack           Code = 2017
	CutOff               Code = 2018
	RateLimited          Code = 2019
	ConnectionUnprepared Code = 2020
)

// Codes of requests whose outcome is unknown.
const (
	ConnectionLost   Code = 3001
	Unconfirmed      Code = 3002
	HomeLost         Code = 3003
	PushUnconfirmed  Code = 3004
	KeyUndetermined  Code = 3005
	TransactionEnded Code = 3006
	StatementTimeout Code = 3007
	AuthorityLost    Code = 3008
	SessionClosed    Code = 3009
)

// Codes of requests that ran.
const (
	AnswerCut   Code = 4001
	RequestDone Code = 4002
	// StatementFailed is an error that the instance itself reported.
	StatementFailed Code = 4003
)

// Codes of manifests and of their acceptance. A push that is refused with any of
// them has no effect.
const (
	ManifestTooLarge    Code = 5001
	ManifestSyntax      Code = 5002
	ManifestUnknownKey  Code = 5003
	ManifestWrongType   Code = 5004
	ManifestMissing     Code = 5005
	ManifestName        Code = 5006
	ManifestDuplicate   Code = 5007
	ManifestUnknownName Code = 5008
	ManifestRange       Code = 5009
	ManifestAddress     Code = 5010
	ManifestSecret      Code = 5011
	ManifestDuration    Code = 5012
	ManifestSpread      Code = 5013
	ManifestInvalid     Code = 5014
	PushConflict        Code = 5201
	StoreUnavailable    Code = 6001
	PushReused          Code = 5202
)

// Codes of the operator API.
const (
	ChangeRefused      Code = 7001
	CredentialsRefused Code = 7002
)

var entries = index([]Entry{
	{MalformedStartup, "malformed-startup", NotRun, "08P01", "The startup packet is malformed."},
	{AuthenticationFailed, "authentication-failed", NotRun, "28P01", "The caller is unknown or the password is wrong."},
	{UnknownDatabase, "unknown-database", NotRun, "3D000", "The manifest has no database of that name, or the caller may not use it."},
	{StatementTooLarge, "statement-too-large", NotRun, "54000", "A message or a pipelined batch exceeds the size limit in the settings."},
	{CopyNotCarried, "copy-not-carried", NotRun, "0A000", "COPY and the replication protocol are not supported."},
	{ProtocolViolation, "protocol-violation", NotRun, "08P01", "A message is malformed or not allowed in the session's state."},
	{TooManyCallers, "too-many-callers", NotRun, "53300", "The daemon or the caller's account has reached the limit of connections in the settings."},
	{NotCarried, "not-carried", NotRun, "0A000", "The statement needs a dedicated connection, which transaction pooling does not provide."},
	{MalformedOption, "malformed-option", NotRun, "22023", "A startup option, SET value or statement mark of tarragonshed is malformed."},
	{EncryptionRequired, "encryption-required", NotRun, "28000", "The settings require TLS on caller connections."},
	{UnknownStatement, "unknown-statement", NotRun, "26000", "The session has no prepared statement of that name."},

	{Overloaded, "overloaded", NotRun, "53400", "The expected wait for a slot exceeds the deadline, the queue is full, or the memory of the sessions is used up; the detail states when to try again."},
	{NoPrimary, "no-primary", NotRun, "57P03", "No primary could be reached before the deadline."},
	{NoReplica, "no-replica", NotRun, "57P03", "No instance could serve the read at the requested position or staleness before the deadline."},
	{ShuttingDown, "shutting-down", NotRun, "57P01", "The daemon is shutting down and accepts no new requests."},
	{InstanceLeaving, "instance-leaving", NotRun, "57P01", "The instance is leaving and accepts no new requests."},
	{NoManifest, "no-manifest", NotRun, "57P03", "The daemon has no manifest in force yet."},
	{DeadlinePassed, "deadline-passed", NotRun, "57014", "The deadline passed before the statement was sent."},
	{NotPrimary, "not-primary", NotRun, "25006", "The instance is not the primary of its group."},
	{InstanceBehind, "instance-behind", NotRun, "57P03", "The instance has not applied the position that the read requires."},
	{InstanceUnreachable, "instance-unreachable", NotRun, "08001", "No connection to the instance could be opened."},
	{HomeUnreachable, "home-unreachable", NotRun, "08001", "No daemon that holds connections to the instance could be reached."},
	{ConnectionsExhausted, "connections-exhausted", NotRun, "53300", "The instance accepts no further connections."},
	{CancelledUnsent, "cancelled-unsent", NotRun, "57014", "The caller cancelled the statement before it was sent."},
	{NoMajority, "no-majority", NotRun, "57P03", "The position that the read requires could not be determined, because a majority of the group's instances could not be queried."},
	{RequestCancelled, "request-cancelled", NotRun, "57014", "The request key is recorded as cancelled, so the request can no longer run."},
	{InstanceRefuses, "instance-refuses", NotRun, "08001", "The instance's VM refuses connections: its process is not running."},
	{RolledBack, "rolled-back", NotRun, "40001", "The transaction was rolled back before its COMMIT was sent; it had no effect."},
	{CutOff, "cut-off", NotRun, "57P03", "The daemon is partitioned from the platform and from other daemons; another daemon may serve the request."},
	{RateLimited, "rate-limited", NotRun, "53400", "The caller has used up its rate limit; the detail states when to try again."},
	{ConnectionUnprepared, "connection-unprepared", NotRun, "08004", "The instance did not give the connection the values or the prepared statement that the statement needs, so it was not sent."},

	{ConnectionLost, "connection-lost", Unknown, "08007", "The connection to the instance was lost after the statement was sent."},
	{Unconfirmed, "unconfirmed", Unknown, "40003", "The write was committed on a primary, but a majority did not confirm it before the deadline."},
	{HomeLost, "home-lost", Unknown, "08007", "The connection to the daemon that ran the statement was lost before it responded."},
	{PushUnconfirmed, "push-unconfirmed", Unknown, "", "The platform did not confirm whether the manifest was accepted; retry with the same push id."},
	{KeyUndetermined, "key-undetermined", Unknown, "40003", "The request key could not be looked up before the deadline; retry the request with the same key."},
	{TransactionEnded, "transaction-ended", Unknown, "25P02", "The connection that held the open transaction was lost; the transaction was not committed unless COMMIT had been sent."},
	{StatementTimeout, "statement-timeout", Unknown, "57014", "The instance did not respond within the statement timeout of the route."},
	{SessionClosed, "session-closed", Unknown, "57P01", "The daemon closed the session, because the memory of all sessions was used up and this one held most of it."},
	{AuthorityLost, "authority-lost", Unknown, "40003", "The primary responded, but the daemon could not verify that it was still the primary."},

	{ManifestTooLarge, "manifest-too-large", NotRun, "", "The manifest, or a list in it, exceeds its size limit."},
	{ManifestSyntax, "manifest-syntax", NotRun, "", "The manifest is not a TOML document."},
	{ManifestUnknownKey, "manifest-unknown-key", NotRun, "", "A key of the manifest is not in the schema."},
	{ManifestWrongType, "manifest-wrong-type", NotRun, "", "A value of the manifest does not have the type that the schema requires."},
	{ManifestMissing, "manifest-missing", NotRun, "", "A required key of the manifest is missing or empty."},
	{ManifestName, "manifest-name", NotRun, "", "A name is not in kebab case or is too long."},
	{ManifestDuplicate, "manifest-duplicate", NotRun, "", "A name or an address occurs twice in the manifest."},
	{ManifestUnknownName, "manifest-unknown-name", NotRun, "", "A reference names a failure domain or a group that is not in the manifest."},
	{ManifestRange, "manifest-range", NotRun, "", "A number of the manifest is out of its range."},
	{ManifestAddress, "manifest-address", NotRun, "", "An address is not of the form host:port."},
	{ManifestSecret, "manifest-secret", NotRun, "", "A secret is not a SCRAM-SHA-256 verifier."},
	{ManifestDuration, "manifest-duration", NotRun, "", "A duration is malformed or out of its range."},
	{ManifestSpread, "manifest-spread", NotRun, "", "Warning: a single failure can make a majority of a group's instances unavailable."},
	{ManifestInvalid, "manifest-invalid", NotRun, "", "The pushed manifest has problems; they are listed with their lines."},
	{PushConflict, "push-conflict", NotRun, "", "The push is not based on the accepted version."},
	{StoreUnavailable, "store-unavailable", NotRun, "", "The platform's store did not respond; the manifest was not accepted."},
	{PushReused, "push-reused", NotRun, "", "The push id was already used for another manifest."},

	{RequestDone, "request-done", Ran, "23505", "A transaction with the same request key is already committed."},
	{AnswerCut, "answer-cut", Ran, "08006", "The statement took effect, but its response could not be delivered completely."},
	{StatementFailed, "statement-failed", Ran, "58000", "The instance ran the statement and reported an error."},

	{ChangeRefused, "change-refused", NotRun, "", "The planned change of primary was not made; the primary is unchanged."},
	{CredentialsRefused, "credentials-refused", NotRun, "", "The operator API rejected the token; the call had no effect."},
})

func index(list []Entry) map[Code]Entry {
	indexed := make(map[Code]Entry, len(list))
	for _, entry := range list {
		indexed[entry.Code] = entry
	}
	return indexed
}
