package quota

import (
	"time"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"
)

// Method and Target identify a request for tokens among the requests between nodes.
const (
	Method = "POST"
	Target = "/.winchhead/quota"
)

// maxWanted limits the number of tokens in one request.
const maxWanted = 10_000

// tokenRequest asks for tokens of a tenant.
type tokenRequest struct {
	Tenant string `avro:"tenant"`
	Wanted int    `avro:"wanted"`
}

// tokenResponse answers a tokenRequest.
type tokenResponse struct {
	// Ranked is false if the node grants no tokens of the tenant, by its own list of nodes.
	Ranked           bool `avro:"ranked"`
	Tokens           int  `avro:"tokens"`
	PauseMillis      int  `avro:"pause_ms"`
	RetryAfterMillis int  `avro:"retry_after_ms"`
}

var (
	requestSchema = avro.MustParse(`{"type":"record","name":"TokenRequest","fields":[
		{"name":"tenant","type":"string"},{"name":"wanted","type":"int"}]}`)
	responseSchema = avro.MustParse(`{"type":"record","name":"TokenResponse","fields":[
		{"name":"ranked","type":"boolean"},{"name":"tokens","type":"int"},
		{"name":"pause_ms","type":"int"},{"name":"retry_after_ms","type":"int"}]}`)
)

func (r tokenRequest) encode() ([]byte, error) { return avro.Marshal(requestSchema, r) }

func decodeRequest(body []byte) (tokenRequest, error) {
	var decoded tokenRequest
	if err := avro.Unmarshal(requestSchema, body, &decoded); err != nil {
		return tokenRequest{}, eris.Wrap(err, "decode a request for tokens")
	}
	if decoded.Wanted < 1 || decoded.Wanted > maxWanted {
		return tokenRequest{}, eris.Errorf("a request for %d tokens, want 1 to %d", decoded.Wanted, maxWanted)
	}
	return decoded, nil
}

func responseOf(granted Grant) tokenResponse {
	return tokenResponse{
		Ranked: true, Tokens: granted.Tokens,
		PauseMillis: int(granted.Pause.Milliseconds()), RetryAfterMillis: int(granted.RetryAfter.Milliseconds()),
	}
}

func (r tokenResponse) encode() ([]byte, error) { return avro.Marshal(responseSchema, r) }

func decodeResponse(body []byte) (tokenResponse, error) {
	var decoded tokenResponse
	if err := avro.Unmarshal(responseSchema, body, &decoded); err != nil {
		return tokenResponse{}, eris.Wrap(err, "decode granted tokens")
	}
	return decoded, nil
}

func (r tokenResponse) grant() Grant {
	return Grant{
		Tokens: r.Tokens, Pause: time.Duration(r.PauseMillis) * time.Millisecond,
		RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond,
	}
}
