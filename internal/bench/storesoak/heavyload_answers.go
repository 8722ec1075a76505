package storesoak

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

const (
	// packSuffix ends the ids of calls of routePack. It is no digit, so that their runs make no calls.
	packSuffix = "-p"
	// leastPackBytes and meanPackBytes are of the large answers, which are at most mostPackBytes long.
	leastPackBytes, meanPackBytes, mostPackBytes = 10_000, 90_000, 540_000
	// stoppingBufferBytes is the receive buffer of readers that stop: with the usual one the system
	// would take a whole answer while nobody reads. With 16 KiB, less than a segment on loopback, the
	// system alone took up to 2 s to resume an answer of 290 KB after a stop, with 64 KiB 0.12 s.
	stoppingBufferBytes = 64 << 10
)

// bodyOf returns the body of the proper answer to a call: a large one for calls of routePack.
func bodyOf(id string) string {
	if !strings.HasSuffix(id, packSuffix) {
		return instance.Body(id)
	}
	size := packBytes(id)
	line := "part of the answer to " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// packBytes returns the length of a large answer, which depends only on the id.
func packBytes(id string) int {
	drawn := rand.New(rand.NewPCG(hashOf(id), 0)).ExpFloat64() * (meanPackBytes - leastPackBytes)
	return min(leastPackBytes+int(drawn), mostPackBytes)
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, text)
	return hash.Sum64()
}

// newStoppingClient returns the HTTP client of readers that stop reading for a while.
func newStoppingClient() *http.Client {
	var dialer net.Dialer
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if tcp, ok := conn.(*net.TCPConn); ok {
				err = tcp.SetReadBuffer(stoppingBufferBytes)
			}
			return conn, err
		},
	}}
}

// clientOf returns the HTTP client for a call.
func (c *callers) clientOf(planned *call) *http.Client {
	if planned.readingStop > 0 {
		return c.stoppingClient
	}
	return c.client
}

// readBody reads the body of an answer, with a pause after its beginning if the call's reader stops.
func (c *call) readBody(body io.Reader) (string, error) {
	var read strings.Builder
	if c.readingStop > 0 {
		if _, err := io.CopyN(&read, body, leastPackBytes/2); err != nil && err != io.EOF {
			return "", err
		}
		time.Sleep(c.readingStop)
	}
	_, err := io.Copy(&read, body)
	return read.String(), err
}
