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

// ask is a request for tokens of a tenant.
type ask struct {
	Tenant string `avro:"tenant"`
	Wanted int    `avro:"wanted"`
}

// reply is the answer to an ask.
type reply struct {
	// Ranked is false if the node grants no tokens of the tenant, by its own list of nodes.
	Ranked           bool `avro:"ranked"`
	Tokens           int  `avro:"tokens"`
	PauseMillis      int  `avro:"pause_ms"`
	RetryAfterMillis int  `avro:"retry_after_ms"`
}

var (
	askSchema = avro.MustParse(`{"type":"record","name":"Ask","fields":[
		{"name":"tenant","type":"string"},{"name":"wanted","type":"int"}]}`)
	replySchema = avro.MustParse(`{"type":"record","name":"Reply","fields":[
		{"name":"ranked","type":"boolean"},{"name":"tokens","type":"int"},
		{"name":"pause_ms","type":"int"},{"name":"retry_after_ms","type":"int"}]}`)
)

func (a ask) encode() ([]byte, error) { return avro.Marshal(askSchema, a) }

func decodeAsk(body []byte) (ask, error) {
	var decoded ask
	if err := avro.Unmarshal(askSchema, body, &decoded); err != nil {
		return ask{}, eris.Wrap(err, "decode a request for tokens")
	}
	if decoded.Wanted < 1 || decoded.Wanted > maxWanted {
		return ask{}, eris.Errorf("a request for %d tokens, want 1 to %d", decoded.Wanted, maxWanted)
	}
	return decoded, nil
}

func replyOf(granted Grant) reply {
	return reply{
		Ranked: true, Tokens: granted.Tokens,
		PauseMillis: int(granted.Pause.Milliseconds()), RetryAfterMillis: int(granted.RetryAfter.Milliseconds()),
	}
}

func (r reply) encode() ([]byte, error) { return avro.Marshal(replySchema, r) }

func decodeReply(body []byte) (reply, error) {
	var decoded reply
	if err := avro.Unmarshal(replySchema, body, &decoded); err != nil {
		return reply{}, eris.Wrap(err, "decode granted tokens")
	}
	return decoded, nil
}

func (r reply) grant() Grant {
	return Grant{
		Tokens: r.Tokens, Pause: time.Duration(r.PauseMillis) * time.Millisecond,
		RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond,
	}
}
