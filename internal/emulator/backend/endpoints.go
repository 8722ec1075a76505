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

// Paths of the endpoints.
const (
	PathEcho     = "/echo"     // the body comes back after the work
	PathCall     = "/call"     // calls onward along HeaderChain
	PathEvents   = "/events"   // server-sent events: ?count= &interval-ms=
	PathDownload = "/download" // streamed Pattern: ?bytes= &chunk= &interval-ms=
	PathUpload   = "/upload"   // answers the size and checksum of the body
	PathUpgrade  = "/upgrade"  // Upgrade to UpgradeProtocol: bytes come back
	PathHealth   = "/health"
	PathLoad     = "/load"
)

func (b *Backend) routes() http.Handler {
	router := chi.NewRouter()
	router.Get(PathHealth, b.serveHealth)
	router.Get(PathLoad, b.serveLoad)
	router.Handle(PathEcho, b.inJob((*job).serveEcho))
	router.Handle(PathEcho+"/*", b.inJob((*job).serveEcho))
	router.Handle(PathCall, b.inJob((*job).serveCall))
	router.Get(PathEvents, b.inJob((*job).serveEvents))
	router.Get(PathDownload, b.inJob((*job).serveDownload))
	router.Post(PathUpload, b.inJob((*job).serveUpload))
	router.Get(PathUpgrade, onlyUpgrades(b.inJob((*job).serveUpgrade)))
	router.NotFound(b.inJob((*job).serveEcho))
	return router
}

// inJob makes a handler that serves a request while it holds a slot.
func (b *Backend) inJob(serve func(*job, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		j := b.begin(w, r)
		if j == nil {
			return
		}
		defer j.end()
		serve(j, w, r)
	}
}

// Checksum returns the checksum of a body as in HeaderChecksum.
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

// Pattern returns size bytes that depend on the request's number and the
// position, so that a cut, shifted or foreign body is told from the right one.
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
		body = Pattern(j.run.request, size)
	}
	j.answer(w, r, body)
}

// answer sends the body with its checksum, or breaks as the fault says.
func (j *job) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	j.backend.journal.finished(j.run)
	if j.fault == FaultResetAfterRead {
		j.release()
		reset(w)
		return
	}
	header := w.Header()
	header.Set(HeaderRequest, j.run.request)
	header.Set(HeaderChecksum, Checksum(body))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if j.fault != FaultNone {
		j.answerBroken(w, r, body)
		return
	}
	j.release()
	w.WriteHeader(statusOf(r))
	_, _ = w.Write(body) // a failure means that the client left
}

func statusOf(r *http.Request) int {
	const lowest, highest = 200, 599
	status, err := strconv.Atoi(r.Header.Get(HeaderStatus))
	if err != nil || status < lowest || status > highest {
		return http.StatusOK
	}
	return status
}

// wrongLengthExcess is how many bytes FaultWrongLength announces too many.
const wrongLengthExcess = 10

func (j *job) answerBroken(w http.ResponseWriter, r *http.Request, body []byte) {
	sent := body[:len(body)/2]
	if j.fault == FaultWrongLength {
		sent = body
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+wrongLengthExcess))
	}
	w.WriteHeader(statusOf(r))
	_, _ = w.Write(sent)
	_ = http.NewResponseController(w).Flush()
	if j.fault == FaultStallMidAnswer {
		<-j.ctx.Done()
	}
	j.release()
	if j.fault == FaultResetMidAnswer {
		reset(w)
		return
	}
	panic(http.ErrAbortHandler) // net/http closes the connection in order
}

func (j *job) serveUpload(w http.ResponseWriter, r *http.Request) {
	digest := xxhash.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		j.breakOff()
	}
	if !j.work(w, r) {
		return
	}
	sum := hex.EncodeToString(appendSum(nil, digest.Sum64()))
	j.answer(w, r, fmt.Appendf(nil, `{"bytes":%d,"checksum":%q}`, size, sum))
}
