package versionaudit

import (
	"errors"

	"cairntiller/internal/codec"
)

// messageVersion is the version of the message format.
const messageVersion = 1

// message is a query or an answer.
type message struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Number  uint64 // of the query; an answer repeats it
	Answer  bool
	List    int64 // in an answer, the version of the endpoint list; noList for none
}

// errUnreadable is returned for a message that can't be decoded.
var errUnreadable = errors.New("unreadable version audit message")

var decoding = codec.StrictDecoder(4, 16, 16)

func encodeQuery(number uint64) []byte {
	return codec.Encode(message{Version: messageVersion, Number: number})
}

func encodeAnswer(number uint64, version int64) []byte {
	return codec.Encode(message{Version: messageVersion, Number: number, Answer: true, List: version})
}

// decodeMessage decodes a message. Any error is errUnreadable.
func decodeMessage(raw []byte) (message, error) {
	var m message
	if decoding.Unmarshal(raw, &m) != nil || m.Version != messageVersion {
		return m, errUnreadable
	}
	return m, nil
}
