package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// maxChainAnswerBytes bounds the answer that is read from the next service of a chain.
const maxChainAnswerBytes = 16 << 20

// serveCall does the work and calls the first entry of HeaderChain ("host/path")
// through the outbound proxy, with the rest of the chain and the remaining time. It
// returns the body of the answer. Without a chain it echoes the request's body.
func (j *job) serveCall(w http.ResponseWriter, r *http.Request) {
	chain := r.Header.Get(HeaderChain)
	if chain == "" {
		j.serveEcho(w, r)
		return
	}
	body := j.readBody(r)
	if !j.work(w, r) {
		return
	}
	response, answer, err := j.backend.callNext(j.ctx, r, chain, body)
	if err != nil {
		j.recordInterrupted()
		answerFailure(w, r, "onward call failed", http.StatusBadGateway)
		return
	}
	if response.StatusCode != http.StatusOK {
		j.backend.journal.finished(j.execution)
		j.releaseSlot()
		http.Error(w, "onward call failed: "+response.Status, http.StatusBadGateway)
		return
	}
	j.answer(w, r, answer)
}

// callNext calls the first entry of the chain and reads the whole answer.
func (b *Backend) callNext(ctx context.Context, r *http.Request, chain string, body []byte) (*http.Response, []byte, error) {
	next, rest, _ := strings.Cut(chain, ",")
	host, path, _ := strings.Cut(strings.TrimSpace(next), "/")
	request, err := http.NewRequestWithContext(ctx, r.Method,
		"http://"+b.options.Outbound+"/"+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, nil, err
	}
	request.Host = host
	copyChainHeaders(request.Header, r.Header)
	if number := r.Header.Get(HeaderRequest); number != "" {
		request.Header.Set(HeaderRequest, number+chainRequestSuffix)
	}
	if rest != "" {
		request.Header.Set(HeaderChain, rest)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	response, err := b.outboundClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxChainAnswerBytes))
	return response, answer, err
}

// chainRequestSuffix is appended to the request's number for the next call of a
// chain, so that an instance that the chain reaches twice does not count the request
// as executed twice.
const chainRequestSuffix = "+"

// copyChainHeaders copies the headers that apply to each call of a chain.
func copyChainHeaders(target, source http.Header) {
	for _, name := range []string{HeaderWork, HeaderAnswerBytes} {
		if value := source.Get(name); value != "" {
			target.Set(name, value)
		}
	}
}
