package backend

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
)

// Paths of the endpoints for callers.
const (
	PathEcho     = "/echo"     // answers with the request's body after the work
	PathCall     = "/call"     // calls the services of HeaderChain in turn
	PathEvents   = "/events"   // server-sent events: ?count= &interval-ms=
	PathDownload = "/download" // streamed Pattern: ?bytes= &chunk= &interval-ms=
	PathUpload   = "/upload"   // answers with the size and checksum of the body
	PathUpgrade  = "/upgrade"  // upgrades to UpgradeProtocol, which echoes bytes
	PathHealth   = "/health"
	PathLoad     = "/load"
)

func (b *Backend) routes() http.Handler {
	router := chi.NewRouter()
	router.Get(PathHealth, b.serveHealth)
	router.Get(PathLoad, b.serveLoad)
	router.Handle(PathEcho, b.withSlot((*job).serveEcho))
	router.Handle(PathEcho+"/*", b.withSlot((*job).serveEcho))
	router.Handle(PathCall, b.withSlot((*job).serveCall))
	router.Get(PathEvents, b.withSlot((*job).serveEvents))
	router.Get(PathDownload, b.withSlot((*job).serveDownload))
	router.Post(PathUpload, b.withSlot((*job).serveUpload))
	router.Get(PathUpgrade, requireUpgrade(b.withSlot((*job).serveUpgrade)))
	router.NotFound(b.withSlot((*job).serveEcho))
	return router
}

// withSlot returns a handler that calls serve with a job that holds a slot.
func (b *Backend) withSlot(serve func(*job, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		j := b.begin(w, r)
		if j == nil {
			return
		}
		defer j.end()
		serve(j, w, r)
	}
}

// Checksum returns the checksum of a body in the form of HeaderChecksum.
func Checksum(body []byte) string {
	var sum [8]byte
	return hex.EncodeToString(appendSum(sum[:0], xxhash.Sum64(body)))
}

func appendSum(target []byte, sum uint64) []byte {
	for shift := 56; shift >= 0; shift -= 8 {
		target = append(target, byte(sum>>shift))
	}
	return target
}

// Pattern returns size bytes that depend on the request's number and the position, so
// that a truncated or shifted body, or that of another request, is detected.
func Pattern(number string, size int) []byte {
	body := make([]byte, 0, size+xxhash.New().Size())
	for block := 0; len(body) < size; block++ {
		body = appendSum(body, xxhash.Sum64String(number+"/"+strconv.Itoa(block)))
	}
	return body[:size]
}

func (j *job) serveEcho(w http.ResponseWriter, r *http.Request) {
	body := j.readBody(r)
	if !j.work(w, r) {
		return
	}
	if size, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes)); err == nil && size >= 0 {
		body = Pattern(j.execution.request, size)
	}
	j.answer(w, r, body)
}

// answer sends the body with its checksum, or causes the job's fault.
func (j *job) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	j.backend.journal.finished(j.execution)
	if j.fault == FaultResetAfterRead {
		j.releaseSlot()
		reset(w)
		return
	}
	header := w.Header()
	header.Set(HeaderRequest, j.execution.request)
	header.Set(HeaderChecksum, Checksum(body))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if j.fault != FaultNone {
		j.answerFaulty(w, r, body)
		return
	}
	j.releaseSlot()
	w.WriteHeader(requestedStatus(r))
	_, _ = w.Write(body) // fails only when the client has gone
}

func requestedStatus(r *http.Request) int {
	const minStatus, maxStatus = 200, 599
	status, err := strconv.Atoi(r.Header.Get(HeaderStatus))
	if err != nil || status < minStatus || status > maxStatus {
		return http.StatusOK
	}
	return status
}

// wrongLengthExcess is the number by which FaultWrongLength exceeds the body's length in
// Content-Length.
const wrongLengthExcess = 10

func (j *job) answerFaulty(w http.ResponseWriter, r *http.Request, body []byte) {
	sent := body[:len(body)/2]
	if j.fault == FaultWrongLength {
		sent = body
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+wrongLengthExcess))
	}
	w.WriteHeader(requestedStatus(r))
	_, _ = w.Write(sent)
	_ = http.NewResponseController(w).Flush()
	if j.fault == FaultStallMidAnswer {
		<-j.ctx.Done()
	}
	j.releaseSlot()
	if j.fault == FaultResetMidAnswer {
		reset(w)
		return
	}
	panic(http.ErrAbortHandler) // net/http closes the connection without a reset
}

func (j *job) serveUpload(w http.ResponseWriter, r *http.Request) {
	digest := xxhash.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		j.abort()
	}
	if !j.work(w, r) {
		return
	}
	sum := hex.EncodeToString(appendSum(nil, digest.Sum64()))
	j.answer(w, r, fmt.Appendf(nil, `{"bytes":%d,"checksum":%q}`, size, sum))
}
