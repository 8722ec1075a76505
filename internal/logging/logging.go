// Package logging builds the process's logger: logrus in text or JSON, with one
// fixed prefix per part.
package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// partField is the name of the field that carries the part's prefix.
const partField = "part"

// New returns a logger that writes to out. level is a logrus level name; format
// is "text" or "json". Text puts the part before the message; JSON has it in the
// field "part".
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
		return nil, eris.Errorf("log format %q: want text or json", format)
	}
	return logger, nil
}

// Part returns the logger of one part of the process.
func Part(logger logrus.FieldLogger, part string) logrus.FieldLogger {
	return logger.WithField(partField, part)
}

// Discard returns a logger that writes nothing, for tests and simulated nodes.
func Discard() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// prefixFormatter moves the part from the fields to the start of the message.
type prefixFormatter struct{ inner logrus.Formatter }

// Format implements logrus.Formatter.
func (f *prefixFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	part, found := entry.Data[partField]
	if !found {
		return f.inner.Format(entry)
	}
	moved := entry.Dup()
	moved.Level, moved.Caller, moved.Buffer = entry.Level, entry.Caller, entry.Buffer
	moved.Message = fmt.Sprintf("%s: %s", part, entry.Message)
	delete(moved.Data, partField)
	return f.inner.Format(moved)
}
