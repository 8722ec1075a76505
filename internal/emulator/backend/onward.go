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

// maxOnwardBody bounds the answer of a call onward, in bytes.
const maxOnwardBody = 16 << 20

// serveCall works, calls the first entry of HeaderChain ("host/path") through the
// outbound proxy with the rest of the chain and the time left, and gives its
// answer back. At the end of the chain it echoes.
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
	response, answer, err := j.backend.callOnward(j.ctx, r, chain, body)
	if err != nil {
		j.stopped()
		giveUp(w, r, "onward call failed", http.StatusBadGateway)
		return
	}
	if response.StatusCode != http.StatusOK {
		j.backend.journal.finished(j.run)
		j.release()
		http.Error(w, "onward call failed: "+response.Status, http.StatusBadGateway)
		return
	}
	j.answer(w, r, answer)
}

// callOnward sends one request and reads its whole answer.
func (b *Backend) callOnward(ctx context.Context, r *http.Request, chain string, body []byte) (*http.Response, []byte, error) {
	next, rest, _ := strings.Cut(chain, ",")
	host, path, _ := strings.Cut(strings.TrimSpace(next), "/")
	request, err := http.NewRequestWithContext(ctx, r.Method,
		"http://"+b.options.Outbound+"/"+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, nil, err
	}
	request.Host = host
	copyOnward(request.Header, r.Header)
	if number := r.Header.Get(HeaderRequest); number != "" {
		request.Header.Set(HeaderRequest, number+onwardMark)
	}
	if rest != "" {
		request.Header.Set(HeaderChain, rest)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	response, err := b.onward.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxOnwardBody))
	return response, answer, err
}

// onwardMark is added to the request's number at each call onward, so that an
// instance that a chain visits twice doesn't count it as doubled.
const onwardMark = "+"

// copyOnward copies what each call of a chain needs.
func copyOnward(target, source http.Header) {
	for _, name := range []string{HeaderWork, HeaderAnswerBytes} {
		if value := source.Get(name); value != "" {
			target.Set(name, value)
		}
	}
}
