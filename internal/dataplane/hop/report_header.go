package hop

import (
	"net/http"
	"strconv"
)

// HeaderMomentary is the name of the field with MomentaryPercent of a report. Sidecars of earlier versions read the
// report without it.
const HeaderMomentary = "Winchhead-Hop-Momentary"

// maxMomentaryPercent bounds MomentaryPercent: a larger value is an error rather than a speed.
const maxMomentaryPercent = 10_000

// AddTo adds the report to the header of a response.
func (r Report) AddTo(header http.Header) {
	header[Header] = []string{r.Encode()}
	delete(header, HeaderMomentary)
	if r.MomentaryPercent > 0 {
		header[HeaderMomentary] = []string{strconv.Itoa(r.MomentaryPercent)}
	}
}

// ReportFrom reads the report from the header of a response, and removes its fields. A malformed MomentaryPercent
// is ignored.
func ReportFrom(header http.Header) (Report, error) {
	report, err := DecodeReport(header.Get(Header))
	if values := header[HeaderMomentary]; err == nil && len(values) == 1 {
		if percent, invalid := strconv.Atoi(values[0]); invalid == nil && percent > 0 && percent <= maxMomentaryPercent {
			report.MomentaryPercent = percent
		}
	}
	delete(header, Header)
	delete(header, HeaderMomentary)
	return report, err
}
