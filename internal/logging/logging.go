// Package logging builds the logger of the process, a logrus logger that writes
// text or JSON. Each part of the process logs under its own name.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// partField is the log field that holds the name of the part.
const partField = "part"

// New returns a logger that writes to out. level is a logrus level name; format
// is "text" or "json". In text the name of the part precedes the message; in JSON
// it is the field "part".
func New(out io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	switch format {
	case "json":
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	case "text":
		logger.SetFormatter(&prefixFormatter{inner: &logrus.TextFormatter{DisableColors: true, FullTimestamp: true}})
	default:
		return nil, eris.Errorf("log format %q: expected text or json", format)
	}
	return logger, nil
}

// Part returns the logger of the named part of the process.
func Part(logger logrus.FieldLogger, part string) logrus.FieldLogger {
	return logger.WithField(partField, part)
}

// Discard returns a logger that drops all lines, for tests and simulated nodes.
func Discard() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// prefixFormatter moves the name of the part from the fields to the start of the message.
type prefixFormatter struct{ inner logrus.Formatter }

// Format implements logrus.Formatter.
func (f *prefixFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	part, found := entry.Data[partField]
	if !found {
		return f.inner.Format(entry)
	}
	prefixed := entry.Dup()
	prefixed.Level, prefixed.Caller, prefixed.Buffer = entry.Level, entry.Caller, entry.Buffer
	prefixed.Message = fmt.Sprintf("%s: %s", part, entry.Message)
	delete(prefixed.Data, partField)
	return f.inner.Format(prefixed)
}
