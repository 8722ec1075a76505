package integration

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// endlessAnswer is an answer that never ends: a start and a piece that is repeated.
type endlessAnswer struct{ name, start, piece string }

// endlessAnswers returns the answers of an instance whose requests and answers have the fields. %s stands for the id.
func endlessAnswers() []endlessAnswer {
	const head = "HTTP/1.1 200 OK\r\n" + instance.HeaderID + ": %s\r\n" + instance.HeaderStamp + ": i-1\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	piece := strings.Repeat("x", 16<<10)
	return []endlessAnswer{
		{"no response", "", piece},
		{"a status line", "HTTP/1.1 200 ", piece},
		{"a header field", head + "X: ", piece},
		{"header fields", head, "X: " + piece[:200] + "\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"a body without a length", head + "\r\n", piece},
		{"a body of a huge length", head + "Content-Length: 999999999999\r\n\r\n", piece},
		{"chunks", chunked, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)},
		{"chunks of one byte", chunked, strings.Repeat("1\r\nx\r\n", 1000)},
		{"an extension of a chunk", chunked + "1;", piece},
		{"a trailer", chunked + "0\r\n", "X: " + piece[:200] + "\r\n"},
		{"events", head + "Content-Type: text/event-stream\r\n\r\n", "data: " + piece + "\n\n"},
		{"a body of another response", "HTTP/1.1 200 OK\r\n" + instance.HeaderID + ": other\r\n\r\n", piece},
	}
}

// TestEndlessAnswersDoNotEndTheNode guards against a node that keeps bytes without end in memory, until its process ends
// and the requests of other clients with it: an instance sends answers, and answers to health checks, that never
// end, to clients that read them, that read slowly and that leave; the store sends such answers as well.
func TestEndlessAnswersDoNotEndTheNode(t *testing.T) {
	t.Parallel()
	const callersEach, deadline, most = 12, 2 * time.Second, 8 << 20
	answers := endlessAnswers()
	var next atomic.Int64
	var endlessStore atomic.Bool
	const storeAnswers = 2 * storeAnswerKinds
	storeAnswerEnded := make(chan struct{}, 100)
	f := newStoreFleet(t, []string{"calm", "data"}, func(index int, emulated *instance.Instance) {
		if index != 1 {
			return
		}
		emulated.Plan = func(string) instance.Fault { return instance.Endless }
		emulated.EndlessAnswer = func(id string) (start, piece string) {
			chosen := answers[next.Add(1)%int64(len(answers))]
			return strings.ReplaceAll(chosen.start, "%s", id), chosen.piece
		}
		emulated.RawHealth, emulated.EndlessHealth = "HTTP/1.1 200 OK\r\n"+instance.HeaderInstance+": i-1\r\n", "X: "+strings.Repeat("x", 100)+"\r\n"
	}, func(proper http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !endlessStore.Load() {
				proper.ServeHTTP(w, r)
				return
			}
			sendEndlessStoreAnswer(w, int(next.Add(1)))
			select {
			case storeAnswerEnded <- struct{}{}:
			default:
			}
		})
	})
	f.startAll()

	stop := make(chan struct{})
	var calm, faulty sync.WaitGroup
	for index := range f.machines {
		calm.Go(func() {
			client := newFleetClient(t)
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := f.send(client, index, http.MethodGet, "/calm/x", nil, 30*time.Second, most)
				qt.Check(t, got.err, qt.IsNil)
				qt.Check(t, got.status, qt.Equals, http.StatusOK)
			}
		})
		for caller := range callersEach {
			faulty.Go(func() {
				for round := range 3 {
					client := newFleetClient(t)
					limit := []int64{most, 1, 300 << 10}[(caller+round)%3] // reads, leaves at once, leaves later
					got := f.send(client, index, http.MethodGet, "/data/x", nil, deadline, limit)
					qt.Check(t, got.err != nil || got.status >= http.StatusInternalServerError, qt.IsTrue,
						qt.Commentf("status %d with %d bytes", got.status, len(got.body)))
				}
			})
		}
	}
	faulty.Wait()
	endless := f.machines[1].instance
	qt.Check(t, len(endless.Runs()) >= len(answers), qt.IsTrue, qt.Commentf("%d endless answers", len(endless.Runs())))
	qt.Check(t, endless.HealthChecks() > 0, qt.IsTrue)
	endlessStore.Store(true)
	for range storeAnswers {
		select {
		case <-storeAnswerEnded:
		case <-testContext(t).Done():
			t.Fatal("the nodes do not read the store")
		}
	}
	close(stop)
	calm.Wait()
	for index, m := range f.machines {
		qt.Check(t, m.isRunning(), qt.IsTrue, qt.Commentf("machine %d", index))
		if !m.isRunning() {
			continue
		}
		peak := m.peakMemory(t)
		t.Logf("machine %d: at most %d MB in memory", index, peak>>20)
		qt.Check(t, peak < machineMemoryMb<<20, qt.IsTrue, qt.Commentf("machine %d: %d MB", index, peak>>20))
	}
}

// storeAnswerKinds is the number of kinds of sendEndlessStoreAnswer.
const storeAnswerKinds = 5

// sendEndlessStoreAnswer sends an answer of the store without end, until the client closes the connection.
func sendEndlessStoreAnswer(w http.ResponseWriter, kind int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	head, piece := "HTTP/1.1 200 OK\r\n", strings.Repeat("x", 16<<10)
	chosen := [storeAnswerKinds]endlessAnswer{
		{start: head + "\r\n" + `{"items":[{"privateKey":"`, piece: piece},
		{start: head + "\r\n" + `{"items":[`, piece: strings.Repeat(`{"privateKey":"servers/x","revision":5},`, 200)},
		{start: head + "Transfer-Encoding: chunked\r\n\r\n", piece: fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)},
		{start: head, piece: "X: " + piece[:100] + "\r\n"},
		{start: "", piece: piece},
	}[kind%storeAnswerKinds]
	_, err = conn.Write([]byte(chosen.start))
	for err == nil {
		_, err = conn.Write([]byte(chosen.piece))
	}
}

// peakMemory returns the most bytes that the process of the node has had in memory.
func (m *storeMachine) peakMemory(t testing.TB) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.node.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	_, after, found := strings.Cut(string(status), "VmHWM:")
	qt.Assert(t, found, qt.IsTrue)
	kilobytes, err := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	qt.Assert(t, err, qt.IsNil)
	return kilobytes << 10
}
