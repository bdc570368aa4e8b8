package design

import . "goa.design/goa/v3/dsl" //revive:disable-line:dot-imports

// API describes the interface for callers.
var _ = API("entry", func() {
	Title("Interface of the entry daemon for callers")
	Version("1")
	Server("entryd", func() {
		Services("chat")
	})
})

var _ = Service("chat", func() {
	Description("OpenAI-compatible chat API.")
	Method("completions", func() {
		Description("Answers a conversation, either as a whole or as server-sent events. Bodies are forwarded to and from a model engine.")
		Payload(func() {
			Attribute("authorization", String, "The word Bearer and the API key of a client account", func() { Default("") })
			Attribute("service-class", String, "Requested service class; if empty, the default class of the key", func() { Default("") })
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
		Description("Lists the models that a client account may request.")
		Payload(func() {
			Attribute("authorization", String, "The word Bearer and the API key of a client account", func() { Default("") })
		})
		Result(ModelList)
		HTTP(func() {
			GET("/v1/models")
			Header("authorization:Authorization")
			Response(StatusOK)
		})
	})
})

// ModelList is a list of models in the form of the chat API.
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
