package wire

import "github.com/winchhead/winchhead/internal/snapshot"

// SourceReport passes on the outcome of one reader's read of the source. A successful read confirms that
// a node which holds Revision or a later one had the newest configuration when the read ended.
type SourceReport struct {
	// Reader identifies the process that read, Sequence orders its reports.
	Reader   uint64
	Sequence uint64
	// StandsIn says that the reader reads only because nothing else confirmed its version, and not by
	// its rank.
	StandsIn bool
	// Failed says that the read failed; it confirms nothing.
	Failed   bool
	Revision snapshot.Revision
	// Age is the time since the end of the read, in milliseconds.
	Age int64
	// SentAt is when the sender sent the message, in milliseconds on a clock of its own. It shows how long
	// a message waited in a connection that was cut off.
	SentAt int64
}

// Type returns TypeSourceReport.
func (*SourceReport) Type() Type { return TypeSourceReport }

func (e encoder) sourceReport(m *SourceReport) {
	e.fixed64(m.Reader)
	e.unsigned(m.Sequence)
	e.boolean(m.StandsIn)
	e.boolean(m.Failed)
	e.unsigned(uint64(m.Revision))
	e.long(m.Age)
	e.long(m.SentAt)
}

func (d decoder) sourceReport() *SourceReport {
	return &SourceReport{
		Reader:   d.fixed64(),
		Sequence: d.unsigned(),
		StandsIn: d.boolean(),
		Failed:   d.boolean(),
		Revision: snapshot.Revision(d.unsigned()),
		Age:      d.long(),
		SentAt:   d.long(),
	}
}
