package versionaudit

import (
	"errors"

	"cairntiller/internal/codec"
)

// messageVersion is the version of the messages' form.
const messageVersion = 1

// message is a question or its answer.
type message struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Number  uint64 // of the question; an answer has its question's
	Answer  bool
	List    int64 // of an answer: the version of the endpoint list, noList for none
}

// errUnreadable tells that a message can't be read.
var errUnreadable = errors.New("a message of a version audit that can't be read")

var decoding = codec.StrictDecoder(4, 16, 16)

func encodeQuestion(number uint64) []byte {
	return codec.Encode(message{Version: messageVersion, Number: number})
}

func encodeAnswer(number uint64, list int64) []byte {
	return codec.Encode(message{Version: messageVersion, Number: number, Answer: true, List: list})
}

// decodeMessage decodes a message. The error is errUnreadable.
func decodeMessage(raw []byte) (message, error) {
	var m message
	if decoding.Unmarshal(raw, &m) != nil || m.Version != messageVersion {
		return m, errUnreadable
	}
	return m, nil
}
