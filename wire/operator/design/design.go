// Package design describes the operator API that each daemon serves.
//
// # Access
//
// Each call carries the header "Authorization: Bearer TOKEN" with the token of the
// daemon's settings. A call without it is answered with status 401.
//
// # Refusals
//
// A valid call that is refused is answered with status 409 and a numbered result
// code from the list in docs/RESULTS.md.
//
// # Usage
//
// wire/generate.sh generates wire/operator/gen from this package:
//
//	goa gen tarragonshed.example/wire/operator/design -o operator
package design

import . "goa.design/goa/v3/dsl"

var _ = API("operator", func() {
	Title("Operator API")
	Description("Operators' interface for observing and controlling a daemon.")
})

// Limits of requests, in bytes and items.
const (
	maxDocumentBytes = 4 << 20
	maxPushIDBytes   = 64
	maxEvents        = 10_000
	maxSessions      = 10_000
)

var problem = Type("Problem", func() {
	Meta("struct:pkg:path", "types")
	Description("One fault of a manifest document.")
	Attribute("code", Int, "Numeric result code.")
	Attribute("line", Int, "Line of the document, from 1; zero for the whole document.")
	Attribute("path", String, "Path of the key.")
	Attribute("detail", String, "What is wrong.")
	Attribute("warning", Boolean, "Whether the manifest can be accepted despite the fault.")
	Required("code", "line", "path", "detail", "warning")
})

var refusal = Type("Refusal", func() {
	Meta("struct:pkg:path", "types")
	Description("A refusal with a numbered result code.")
	ErrorName("name", String, "Name of the error.")
	Attribute("code", Int, "Numeric result code.")
	Attribute("outcome", String, "Whether the call took effect: not run, outcome unknown, or ran.")
	Attribute("detail", String, "What happened.")
	Attribute("problems", ArrayOf(problem), "Faults of the manifest.")
	Required("name", "code", "outcome", "detail")
})

var hybridTime = Type("HybridTime", func() {
	Meta("struct:pkg:path", "types")
	Description("A reading of the hybrid logical clock.")
	Attribute("wall", Int64, "Nanoseconds since the Unix epoch.")
	Attribute("counter", UInt32, "Orders readings with the same wall time.")
	Required("wall", "counter")
})

var position = Type("Position", func() {
	Meta("struct:pkg:path", "types")
	Description("The position of a record in a group's log.")
	Attribute("term", UInt64, "Term in which the record was written.")
	Attribute("index", UInt64, "Index of the record.")
	Required("term", "index")
})

var record = Type("ManifestRecord", func() {
	Meta("struct:pkg:path", "types")
	Description("An accepted manifest.")
	Attribute("version", UInt64, "Version; zero if there is none.")
	Attribute("digest", String, "SHA-256 of the document, in hex.")
	Attribute("push-id", String, "Id of the push that was accepted.")
	Attribute("author", String, "Author of the push.")
	Attribute("pushed-at", Int64, "Time of the push in nanoseconds since the Unix epoch.")
	Required("version", "digest")
})

var daemon = Type("Daemon", func() {
	Description("A daemon, as seen by the daemon that serves the call.")
	Attribute("id", String, "Id of the daemon.")
	Attribute("incarnation", UInt64, "Incarnation number; later incarnations of the same id have larger numbers.")
	Attribute("domain", String, "Failure domain.")
	Attribute("state", String, "live, suspect, leaving or dead.")
	Attribute("manifest", UInt64, "Version of the manifest in force by its last report.")
	Attribute("peer-address", String, "host:port for other daemons.")
	Attribute("operator-address", String, "host:port of the operator API.")
	Attribute("caller-address", String, "host:port for callers.")
	Required("id", "incarnation", "domain", "state", "manifest", "peer-address", "operator-address", "caller-address")
})

var _ = Service("daemon", func() {
	Description("State and drain of the daemon.")
	Error("refused", refusal)
	HTTP(func() {
		Path("/v1")
		Response("refused", StatusConflict)
	})

	Method("status", func() {
		Description("Returns the state of the daemon and its view of the other daemons.")
		Result(func() {
			Attribute("id", String, "Id of the daemon.")
			Attribute("domain", String, "Failure domain.")
			Attribute("incarnation", UInt64, "Incarnation of the daemon.")
			Attribute("state", String, "live or leaving.")
			Attribute("started-at", Int64, "Start in nanoseconds since the Unix epoch.")
			Attribute("manifest", record, "Manifest in force.")
			Attribute("manifest-since", Int64, "Time from which the manifest has been in force, in nanoseconds since the Unix epoch.")
			Attribute("platform-reachable", Boolean, "Whether the last call to the platform was answered.")
			Attribute("sessions", Int, "Number of callers' sessions.")
			Attribute("transactions", Int, "Number of open transactions.")
			Attribute("daemons", ArrayOf(daemon), "All daemons, ordered by id.")
			Required("id", "domain", "incarnation", "state", "started-at", "manifest", "manifest-since", "platform-reachable", "sessions", "transactions", "daemons")
		})
		HTTP(func() { GET("/status") })
	})

	Method("version", func() {
		Description("Returns the version of the program.")
		Result(func() {
			Attribute("version", String, "Version of the program.")
			Attribute("revision", String, "Revision of its source.")
			Attribute("go", String, "Version of the compiler.")
			Required("version", "revision", "go")
		})
		HTTP(func() { GET("/version") })
	})

	Method("sessions", func() {
		Description("Returns the callers' sessions, ordered by id.")
		Payload(func() {
			Attribute("limit", Int, "Maximum number of sessions.", func() {
				Minimum(1)
				Maximum(maxSessions)
				Default(1000)
			})
		})
		Result(func() {
			Attribute("sessions", ArrayOf("Session"), "Sessions.")
			Attribute("total", Int, "Number of all sessions.")
			Required("sessions", "total")
		})
		HTTP(func() {
			GET("/sessions")
			Param("limit")
		})
	})

	Method("drain", func() {
		Description("Starts the drain: the daemon takes no new sessions and ends the open ones between transactions. A repeated call has no effect. The status method reports the progress.")
		HTTP(func() {
			POST("/drain")
			Response(StatusAccepted)
		})
	})

	Method("timeline", func() {
		Description("Returns the retained events after a time, oldest first.")
		Payload(func() {
			Attribute("since-wall", Int64, "Wall part of the time.", func() { Default(0) })
			Attribute("since-counter", UInt32, "Counter part of the time.", func() { Default(0) })
			Attribute("limit", Int, "Maximum number of events.", func() {
				Minimum(1)
				Maximum(maxEvents)
				Default(maxEvents)
			})
		})
		Result(func() {
			Attribute("source", String, "Daemon that recorded the events.")
			Attribute("events", ArrayOf("TimelineEvent"), "Events.")
			Attribute("more", Boolean, "Whether there are more events than the limit.")
			Required("source", "events", "more")
		})
		HTTP(func() {
			GET("/timeline")
			Param("since-wall")
			Param("since-counter")
			Param("limit")
		})
	})
})

var _ = Type("Session", func() {
	Description("A caller's session.")
	Attribute("id", UInt64, "Id within the daemon.")
	Attribute("caller", String, "Name of the caller.")
	Attribute("group", String, "Group that the session uses.")
	Attribute("address", String, "Address from which the caller connects.")
	Attribute("state", String, "State of the session.")
	Attribute("since", Int64, "Start in nanoseconds since the Unix epoch.")
	Attribute("position", position, "Position that the session's reads must see.")
	Required("id", "caller", "group", "address", "state", "since", "position")
})

var _ = Type("TimelineEvent", func() {
	Description("One decision or observation of a daemon.")
	Attribute("time", hybridTime, "Time of the event.")
	Attribute("kind", String, "Type of the event.")
	Attribute("source", String, "Process that recorded the event.")
	Attribute("domain", String, "Failure domain.")
	Attribute("group", String, "Group.")
	Attribute("instance", String, "Instance.")
	Attribute("daemon", String, "Daemon.")
	Attribute("term", UInt64, "Term.")
	Attribute("position", position, "Position.")
	Attribute("request", String, "Id of the request.")
	Attribute("detail", String, "Additional text for human readers.")
	Required("time", "kind", "source")
})

var _ = Type("GroupInstance", func() {
	Description("An instance of a group, as known to the daemon that serves the call.")
	Attribute("name", String, "Name of the instance.")
	Attribute("domain", String, "Failure domain.")
	Attribute("address", String, "host:port of the instance.")
	Attribute("slots", Int, "Number of statements that the instance runs concurrently.")
	Attribute("connections", Int, "Number of connections that the instance accepts.")
	Attribute("leaving", Boolean, "Whether the instance is leaving and receives no new work.")
	Attribute("homes", ArrayOf(String), "Daemons that hold connections to it.")
	Attribute("known", Boolean, "Whether a report of the instance has been received.")
	Attribute("role", String, "Role in the last report.")
	Attribute("term", UInt64, "Term in the last report.")
	Attribute("last", position, "Position of the last log record in the last report.")
	Attribute("applied", position, "Position that reads on the instance see, in the last report.")
	Attribute("staleness-milliseconds", Int64, "Age of the data that reads on the instance see.")
	Required("name", "domain", "address", "slots", "connections", "leaving", "homes", "known")
})

var _ = Type("Group", func() {
	Description("A database group.")
	Attribute("name", String, "Name of the group.")
	Attribute("primary", String, "Primary of the highest term that has been reported.")
	Attribute("term", UInt64, "Highest term that has been reported.")
	Attribute("watchers", ArrayOf(String), "Daemons that watch the group.")
	Attribute("instances", ArrayOf("GroupInstance"), "Instances of the group.")
	Required("name", "primary", "term", "watchers", "instances")
})

var _ = Service("group", func() {
	Description("Database groups.")
	Error("refused", refusal)
	HTTP(func() {
		Path("/v1/groups")
		Response("refused", StatusConflict)
	})

	Method("list", func() {
		Description("Returns the groups of the manifest in force.")
		Result(func() {
			Attribute("groups", ArrayOf("Group"), "Groups.")
			Required("groups")
		})
		HTTP(func() { GET("") })
	})

	Method("change-primary", func() {
		Description("Changes the primary of a group and returns when the change is complete.")
		Payload(func() {
			Attribute("group", String, "Name of the group.")
			Attribute("to", String, "Instance that becomes primary; if empty, the daemon selects the best one.")
			Required("group")
		})
		Result(func() {
			Attribute("primary", String, "The new primary.")
			Required("primary")
		})
		HTTP(func() {
			POST("/{group}/primary")
			Param("to")
		})
	})
})

var _ = Service("manifest", func() {
	Description("Manifests.")
	Error("refused", refusal)
	HTTP(func() {
		Path("/v1/manifest")
		Response("refused", StatusConflict)
	})

	Method("push", func() {
		Description("Submits a manifest for acceptance. A push that is repeated with the same id is accepted at most once.")
		Payload(func() {
			Attribute("push-id", String, "Id of the push.", func() { MaxLength(maxPushIDBytes) })
			Attribute("base", UInt64, "Version on which the document is based.")
			Attribute("document", Bytes, "TOML document.", func() { MaxLength(maxDocumentBytes) })
			Attribute("author", String, "Author of the push.", func() { MaxLength(256) })
			Required("push-id", "base", "document")
		})
		Result(record)
		HTTP(func() { POST("") })
	})

	Method("show", func() {
		Description("Returns an accepted manifest: the one in force on the daemon, or a version from the platform.")
		Payload(func() {
			Attribute("version", UInt64, "Version; zero for the one in force.", func() { Default(0) })
		})
		Result(func() {
			Attribute("record", record, "The record.")
			Attribute("document", Bytes, "TOML document.")
			Required("record", "document")
		})
		HTTP(func() {
			GET("")
			Param("version")
		})
	})

	Method("history", func() {
		Description("Returns the accepted manifests, latest first.")
		Payload(func() {
			Attribute("limit", Int, "Maximum number of records.", func() {
				Minimum(1)
				Maximum(10_000)
				Default(50)
			})
		})
		Result(func() {
			Attribute("records", ArrayOf(record), "Records.")
			Required("records")
		})
		HTTP(func() {
			GET("/history")
			Param("limit")
		})
	})

	Method("accepted", func() {
		Description("Returns the record that the platform holds as accepted; version zero if there is none.")
		Result(record)
		HTTP(func() { GET("/accepted") })
	})
})
