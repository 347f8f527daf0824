// Package design describes the API of the platform that daemons and operators
// use: a table service, an object store, the list of VMs and the database groups.
//
// # Versions
//
// Each committed transaction of the table service raises one store-wide
// revision, and the rows that it wrote get that revision as their version. A
// version of zero stands for an absent row, so that one kind of condition covers
// both "unchanged" and "absent".
//
// # Usage
//
// wire/generate.sh generates wire/platform/gen from this package:
//
//	goa gen tarragonshed.example/wire/platform/design -o platform
package design

import . "goa.design/goa/v3/dsl" //nolint:revive // The design language is meant to be dot-imported.

var _ = API("platform", func() {
	Title("Platform")
	Description("Services that the platform provides to tarragonshed.")
})

// Limits of sizes, in bytes and items.
const (
	maxKeyBytes      = 512
	maxValueBytes    = 64 * 1024
	maxObjectBytes   = 16 * 1024 * 1024
	maxOperations    = 64
	maxScanRows      = 1000
	unavailableError = "unavailable"
	conflictError    = "conflict"
	notFoundError    = "not-found"
)

var row = Type("Row", func() {
	Description("One row of a table.")
	Attribute("key", String, "Key of the row.", func() { MaxLength(maxKeyBytes) })
	Attribute("value", Bytes, "Value of the row.")
	Attribute("version", UInt64, "Revision of the transaction that wrote the row.")
	Required("key", "value", "version")
})

var condition = Type("Condition", func() {
	Description("A condition on one row; version zero requires that the row is absent.")
	Attribute("table", String, "Name of the table.", func() { MaxLength(maxKeyBytes) })
	Attribute("key", String, "Key of the row.", func() { MaxLength(maxKeyBytes) })
	Attribute("version", UInt64, "Version that the row must have.")
	Required("table", "key", "version")
})

var write = Type("Write", func() {
	Description("A change of one row.")
	Attribute("table", String, "Name of the table.", func() { MaxLength(maxKeyBytes) })
	Attribute("key", String, "Key of the row.", func() { MaxLength(maxKeyBytes) })
	Attribute("value", Bytes, "New value of the row.", func() { MaxLength(maxValueBytes) })
	Attribute("delete", Boolean, "Whether the row is deleted instead of written.")
	Required("table", "key")
})

var _ = Service("table", func() {
	Description("A transactional table service.")
	Error(unavailableError, func() { Temporary() })
	Error(conflictError)
	Error(notFoundError)
	HTTP(func() {
		Path("/tables")
		Response(unavailableError, StatusServiceUnavailable)
		Response(conflictError, StatusConflict)
		Response(notFoundError, StatusNotFound)
	})

	Method("get", func() {
		Description("Returns one row.")
		Payload(func() {
			Attribute("table", String, "Name of the table.")
			Attribute("key", String, "Key of the row.")
			Required("table", "key")
		})
		Result(row)
		HTTP(func() {
			GET("/{table}/row")
			Param("key")
		})
	})

	Method("scan", func() {
		Description("Returns the rows whose key starts with the prefix, ordered by key.")
		Payload(func() {
			Attribute("table", String, "Name of the table.")
			Attribute("prefix", String, "Prefix of the keys.")
			Attribute("after", String, "Returns only keys after this one.")
			Attribute("limit", Int, "Maximum number of rows.", func() {
				Minimum(1)
				Maximum(maxScanRows)
				Default(maxScanRows)
			})
			Required("table")
		})
		Result(func() {
			Attribute("rows", ArrayOf(row), "Rows found.")
			Required("rows")
		})
		HTTP(func() {
			GET("/{table}/rows")
			Param("prefix")
			Param("after")
			Param("limit")
		})
	})

	Method("commit", func() {
		Description("Applies all writes if all conditions hold, and nothing otherwise.")
		Payload(func() {
			Attribute("conditions", ArrayOf(condition), "Conditions on rows.", func() { MaxLength(maxOperations) })
			Attribute("writes", ArrayOf(write), "Changes of rows.", func() { MaxLength(maxOperations) })
			Required("writes")
		})
		Result(func() {
			Attribute("revision", UInt64, "Version of the written rows.")
			Required("revision")
		})
		HTTP(func() {
			POST("/commit")
		})
	})
})

var _ = Service("object", func() {
	Description("An object store.")
	Error(unavailableError, func() { Temporary() })
	Error(notFoundError)
	HTTP(func() {
		Path("/objects")
		Response(unavailableError, StatusServiceUnavailable)
		Response(notFoundError, StatusNotFound)
	})

	Method("put", func() {
		Description("Stores an object under a name, replacing an earlier object of that name.")
		Payload(func() {
			Attribute("name", String, "Name of the object.", func() { MaxLength(maxKeyBytes) })
			Attribute("content", Bytes, "Content of the object.", func() { MaxLength(maxObjectBytes) })
			Required("name", "content")
		})
		Result(func() {
			Attribute("etag", String, "Digest of the content.")
			Required("etag")
		})
		HTTP(func() {
			PUT("/content")
			Param("name")
		})
	})

	Method("get", func() {
		Description("Returns an object.")
		Payload(func() {
			Attribute("name", String, "Name of the object.")
			Required("name")
		})
		Result(func() {
			Attribute("content", Bytes, "Content of the object.")
			Attribute("etag", String, "Digest of the content.")
			Required("content", "etag")
		})
		HTTP(func() {
			GET("/content")
			Param("name")
		})
	})

	Method("list", func() {
		Description("Returns the names and etags of the objects whose name starts with the prefix.")
		Payload(func() {
			Attribute("prefix", String, "Prefix of the names.")
		})
		Result(func() {
			Attribute("objects", ArrayOf("ObjectEntry"), "Objects found, ordered by name.")
			Required("objects")
		})
		HTTP(func() {
			GET("")
			Param("prefix")
		})
	})
})

var _ = Type("ObjectEntry", func() {
	Description("Name and etag of an object.")
	Attribute("name", String, "Name of the object.")
	Attribute("etag", String, "Digest of the content.")
	Attribute("size", Int64, "Size of the content in bytes.")
	Required("name", "etag", "size")
})

var vm = Type("VM", func() {
	Description("A VM that runs a daemon.")
	Attribute("id", String, "Id of the VM, which is the daemon's id.")
	Attribute("incarnation", UInt64, "Incarnation number; later incarnations of the same id have larger numbers.")
	Attribute("domain", String, "Failure domain.")
	Attribute("state", String, "State of the VM.", func() { Enum("live", "leaving") })
	Attribute("peer-address", String, "host:port for other daemons.")
	Attribute("operator-address", String, "host:port of the operator API.")
	Attribute("caller-address", String, "host:port for callers.")
	Required("id", "incarnation", "domain", "state", "peer-address")
})

var _ = Service("fleet", func() {
	Description("The list of live and leaving VMs, which may be out of date.")
	Error(unavailableError, func() { Temporary() })
	HTTP(func() {
		Path("/vms")
		Response(unavailableError, StatusServiceUnavailable)
	})

	Method("list", func() {
		Description("Returns the VMs.")
		Result(func() {
			Attribute("vms", ArrayOf(vm), "VMs ordered by id.")
			Attribute("revision", UInt64, "Raised by each change of the list.")
			Required("vms", "revision")
		})
		HTTP(func() {
			GET("")
		})
	})
})

var databaseInstance = Type("DatabaseInstance", func() {
	Description("An instance of a database group.")
	Attribute("name", String, "Name of the instance.")
	Attribute("domain", String, "Failure domain.")
	Attribute("address", String, "host:port of the instance.")
	Attribute("slots", Int, "Number of statements that the instance runs concurrently.")
	Attribute("connections", Int, "Number of connections that the instance accepts.")
	Required("name", "domain", "address", "slots", "connections")
})

var databaseGroup = Type("DatabaseGroup", func() {
	Description("A database group of the platform.")
	Attribute("name", String, "Name of the group.")
	Attribute("instances", ArrayOf(databaseInstance), "Instances of the group.")
	Required("name", "instances")
})

var _ = Service("database", func() {
	Description("The database groups that the platform runs.")
	Error(unavailableError, func() { Temporary() })
	HTTP(func() {
		Path("/database-groups")
		Response(unavailableError, StatusServiceUnavailable)
	})

	Method("list", func() {
		Description("Returns the database groups.")
		Result(func() {
			Attribute("groups", ArrayOf(databaseGroup), "Groups ordered by name.")
			Required("groups")
		})
		HTTP(func() {
			GET("")
		})
	})
})
