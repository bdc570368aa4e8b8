package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports

// API describes the interfaces of the platform that the project uses.
var _ = API("platform", func() {
	Title("Platform interfaces used by acaciapath")
	Version("1")
})

// Row is one row of the transactional table service.
var Row = Type("Row", func() {
	Attribute("key", String, "Key of the row")
	Attribute("version", UInt64, "Version of the row, increased by every write; 0 means that the row does not exist")
	Attribute("value", Bytes, "Content of the row")
	Required("key", "version", "value")
})

// Condition is what a transaction requires of one row.
var Condition = Type("Condition", func() {
	Attribute("key", String, "Key of the row")
	Attribute("version", UInt64, "Version that the row must have; 0 requires that the row does not exist")
	Required("key", "version")
})

// Write is one write of a transaction.
var Write = Type("Write", func() {
	Attribute("key", String, "Key of the row")
	Attribute("value", Bytes, "New content of the row; ignored by a deletion")
	Attribute("delete", Boolean, "Whether the row is deleted", func() { Default(false) })
	Required("key")
})

// Conflict reports that a condition of a transaction did not hold.
var Conflict = Type("Conflict", func() {
	Attribute("message", String, "Which conditions did not hold")
	Attribute("rows", ArrayOf(Row), "Current state of the rows whose conditions did not hold")
	Required("message", "rows")
})

// VM is an entry VM as the platform lists it.
var VM = Type("VM", func() {
	Attribute("name", String, "Name of the VM, which is never reused")
	Attribute("failure-domain", String, "Failure domain of the VM")
	Attribute("address", String, "IP address of the VM")
	Attribute("peer-port", Int, "Port on which the VM's entry daemon accepts connections from peers")
	Attribute("control-port", Int, "Port on which the VM's control daemon accepts connections from peers; 0 if there is none")
	Attribute("leaving", Boolean, "Whether the VM is about to be removed")
	Required("name", "failure-domain", "address", "peer-port", "control-port", "leaving")
})

// BackendServer is a backend server that the platform runs.
var BackendServer = Type("BackendServer", func() {
	Attribute("name", String, "Name of the backend server, which is never reused")
	Attribute("order-id", String, "Id of the order that created it; empty if it was not ordered")
	Attribute("failure-domain", String, "Failure domain of the backend server")
	Attribute("kind", String, "Purchase kind", func() { Enum("standard", "cheap") })
	Attribute("model", String, "Model for which it was ordered")
	Attribute("address", String, "IP address and port; empty while it starts")
	Attribute("state", String, "State of the backend server", func() { Enum("starting", "running", "leaving", "gone") })
	Attribute("leaves-at", String, "Time at which a leaving backend server is removed, in RFC 3339", func() { Format(FormatDateTime) })
	Required("name", "order-id", "failure-domain", "kind", "model", "address", "state")
})

// UsageLine is one line of a usage report.
var UsageLine = Type("UsageLine", func() {
	Attribute("client-account", String, "Client account that is charged")
	Attribute("service-class", String, "Service class of the requests")
	Attribute("model", String, "Model or plain service that served the requests")
	Attribute("requests", UInt64, "Requests that ran")
	Attribute("prompt-tokens", UInt64, "Prompt tokens that were processed")
	Attribute("completion-tokens", UInt64, "Tokens that were generated")
	Attribute("amount", Int64, "Charge in millionths of the currency unit")
	Required("client-account", "service-class", "model", "requests", "prompt-tokens", "completion-tokens", "amount")
})

var _ = Service("table", func() {
	Description("Transactional table service of the platform.")
	Error("unavailable", ErrorResult, "The service is down", func() { Temporary() })
	Error("conflict", Conflict, "A condition did not hold")
	HTTP(func() {
		Response("unavailable", StatusServiceUnavailable)
		Response("conflict", StatusConflict)
	})
	Method("get", func() {
		Description("Returns the rows with the given keys that exist.")
		Payload(func() {
			Attribute("keys", ArrayOf(String), "Keys of the rows")
			Required("keys")
		})
		Result(ArrayOf(Row))
		HTTP(func() { POST("/table/get") })
	})
	Method("list", func() {
		Description("Returns rows in the order of their keys.")
		Payload(func() {
			Attribute("prefix", String, "Prefix of the keys")
			Attribute("after", String, "Key after which the list starts", func() { Default("") })
			Attribute("limit", Int, "Maximum number of rows to return", func() { Default(1000); Minimum(1); Maximum(1000) })
			Required("prefix")
		})
		Result(ArrayOf(Row))
		HTTP(func() { POST("/table/list") })
	})
	Method("commit", func() {
		Description("Applies all writes if all conditions hold, and none otherwise. Returns the written rows.")
		Payload(func() {
			Attribute("conditions", ArrayOf(Condition), "Conditions that must hold")
			Attribute("writes", ArrayOf(Write), "Writes to apply")
			Required("conditions", "writes")
		})
		Result(ArrayOf(Row))
		HTTP(func() { POST("/table/commit") })
	})
})

var _ = Service("objects", func() {
	Description("Object store of the platform. Objects are immutable.")
	Error("unavailable", ErrorResult, "The service is down", func() { Temporary() })
	Error("not-found", ErrorResult, "There is no such object")
	HTTP(func() {
		Response("unavailable", StatusServiceUnavailable)
		Response("not-found", StatusNotFound)
	})
	Method("put", func() {
		Description("Stores an object.")
		Payload(func() {
			Attribute("name", String, "Name of the object")
			Attribute("data", Bytes, "Content of the object")
			Required("name", "data")
		})
		HTTP(func() { POST("/objects/put") })
	})
	Method("get", func() {
		Description("Returns the content of an object.")
		Payload(func() {
			Attribute("name", String, "Name of the object")
			Required("name")
		})
		Result(Bytes)
		HTTP(func() { POST("/objects/get") })
	})
})

var _ = Service("vms", func() {
	Description("List of the entry VMs. It may be out of date.")
	Error("unavailable", ErrorResult, "The service is down", func() { Temporary() })
	HTTP(func() { Response("unavailable", StatusServiceUnavailable) })
	Method("list", func() {
		Description("Returns the live and leaving entry VMs.")
		Result(ArrayOf(VM))
		HTTP(func() { GET("/vms") })
	})
})

var _ = Service("servers", func() {
	Description("Ordering of backend servers by failure domain.")
	Error("unavailable", ErrorResult, "The service is down", func() { Temporary() })
	Error("no-capacity", ErrorResult, "No backend server of this kind is available", func() { Temporary() })
	Error("stale-fence", ErrorResult, "The fencing token is older than one seen before")
	HTTP(func() {
		Response("unavailable", StatusServiceUnavailable)
		Response("no-capacity", StatusConflict)
		Response("stale-fence", StatusPreconditionFailed)
	})
	Method("list", func() {
		Description("Returns the backend servers of a failure domain, or of all if it is empty.")
		Payload(func() {
			Attribute("failure-domain", String, "Failure domain", func() { Default("") })
		})
		Result(ArrayOf(BackendServer))
		HTTP(func() {
			GET("/backend-servers")
			Param("failure-domain")
		})
	})
	Method("order", func() {
		Description("Orders one backend server. A repeated order-id orders nothing and returns the backend server of the first order.")
		Payload(func() {
			Attribute("order-id", String, "Id of the order")
			Attribute("fence", UInt64, "Fencing token of the lease under which the order is given")
			Attribute("holder", String, "Process that gives the order")
			Attribute("failure-domain", String, "Failure domain")
			Attribute("kind", String, "Purchase kind", func() { Enum("standard", "cheap") })
			Attribute("model", String, "Model to load")
			Required("order-id", "fence", "holder", "failure-domain", "kind", "model")
		})
		Result(BackendServer)
		HTTP(func() { POST("/backend-servers/order") })
	})
	Method("release", func() {
		Description("Releases a backend server. It is no error if the backend server is already gone.")
		Payload(func() {
			Attribute("name", String, "Name of the backend server")
			Attribute("fence", UInt64, "Fencing token of the lease under which the order is given")
			Attribute("holder", String, "Process that gives the order")
			Required("name", "fence", "holder")
		})
		HTTP(func() { POST("/backend-servers/release") })
	})
})

var _ = Service("usage", func() {
	Description("Usage reports.")
	Error("unavailable", ErrorResult, "The service is down", func() { Temporary() })
	HTTP(func() { Response("unavailable", StatusServiceUnavailable) })
	Method("report", func() {
		Description("Accepts the usage report of one window.")
		Payload(func() {
			Attribute("window", String, "Start of the window in RFC 3339", func() { Format(FormatDateTime) })
			Attribute("fence", UInt64, "Fencing token of the lease under which the report is sent")
			Attribute("holder", String, "Process that sends the report")
			Attribute("lines", ArrayOf(UsageLine), "Lines of the report")
			Required("window", "fence", "holder", "lines")
		})
		HTTP(func() { POST("/usage/report") })
	})
})
