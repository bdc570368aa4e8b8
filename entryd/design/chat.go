package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports

// API describes what callers reach.
var _ = API("entry", func() {
	Title("Callers' interface of the entry daemon")
	Version("1")
	Server("entryd", func() {
		Services("chat")
	})
})

var _ = Service("chat", func() {
	Description("The well-known chat API.")
	Method("completions", func() {
		Description("Answers a conversation, whole or as server-sent events. Bodies pass through to a model engine.")
		Payload(func() {
			Attribute("authorization", String, "Bearer and the key of a client account", func() { Default("") })
			Attribute("service-class", String, "Service class that is asked for; the key's default if empty", func() { Default("") })
		})
		Result(func() {
			Attribute("content-type", String, "Media type of the answer")
			Required("content-type")
		})
		HTTP(func() {
			POST("/v1/chat/completions")
			Header("authorization:Authorization")
			Header("service-class:X-Service-Class")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("content-type:Content-Type")
			})
		})
	})
	Method("models", func() {
		Description("Lists the models that a client account may ask for.")
		Payload(func() {
			Attribute("authorization", String, "Bearer and the key of a client account", func() { Default("") })
		})
		Result(ModelList)
		HTTP(func() {
			GET("/v1/models")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
})

// ModelList is the list of models as the chat API has it.
var ModelList = Type("ModelList", func() {
	Attribute("object", String, "Always list")
	Attribute("data", ArrayOf(Model), "The models")
	Required("object", "data")
})

// Model is one model of a ModelList.
var Model = Type("Model", func() {
	Attribute("id", String, "Name of the model")
	Attribute("object", String, "Always model")
	Attribute("created", Int64, "Always 0")
	Attribute("owned_by", String, "Always acaciapath")
	Required("id", "object", "created", "owned_by")
})
