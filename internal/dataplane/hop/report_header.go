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

// AddTo adds the report to the header of a response. The optional fields are listed in Connection, so that
// nodes of earlier versions remove them from a response before they send it to a caller.
func (r Report) AddTo(header http.Header) {
	StripReport(header)
	header[Header] = []string{r.Encode()}
	if r.Link.IsKnown() {
		addOptional(header, HeaderLink, r.Link.Encode())
	}
	if r.MomentaryPercent > 0 {
		addOptional(header, HeaderMomentary, strconv.Itoa(r.MomentaryPercent))
	}
}

func addOptional(header http.Header, name, value string) {
	header[name] = []string{value}
	header[headerConnection] = append(header[headerConnection], name)
}

// ReportFrom reads the report from the header of a response. Optional fields that cannot be read are ignored,
// as the rest of the report is valid without them.
func ReportFrom(header http.Header) (Report, error) {
	report, err := DecodeReport(header.Get(Header))
	if err != nil {
		return report, err
	}
	if values := header[HeaderLink]; len(values) == 1 {
		if link, err := DecodeLink(values[0]); err == nil {
			report.Link = link
		}
	}
	if values := header[HeaderMomentary]; len(values) == 1 {
		if percent, err := strconv.Atoi(values[0]); err == nil && percent > 0 && percent <= maxMomentaryPercent {
			report.MomentaryPercent = percent
		}
	}
	return report, nil
}

// StripReport removes the fields of the report from the header of a response.
func StripReport(header http.Header) {
	delete(header, Header)
	delete(header, HeaderLink)
	delete(header, HeaderMomentary)
}
