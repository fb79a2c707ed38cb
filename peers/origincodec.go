package peers

import "magnoliaspoke.example/spoke"

type (
	softwareRow struct {
		Service string `json:"service"`
		Version string `json:"version"`
		AgeMs   int64  `json:"age-ms,omitempty"`
	}

	originRow struct {
		Request string `json:"request"`
		// Version is empty if it is in doubt.
		Version string `json:"version,omitempty"`
		AgeMs   int64  `json:"age-ms,omitempty"`
	}
)

func encodeOrigins(row *reportRow, report spoke.HostReport) {
	row.SoftwareMs = report.SoftwareKnown.Milliseconds()
	for _, listed := range report.Software {
		row.Software = append(row.Software, softwareRow{string(listed.Service), string(listed.Software), listed.Age.Milliseconds()})
	}
	for _, stream := range report.Origins {
		row.Origins = append(row.Origins, originRow{string(stream.Request), string(stream.Software), stream.Age.Milliseconds()})
	}
}

func decodeOrigins(row reportRow, report *spoke.HostReport) {
	report.SoftwareKnown = decodeMilliseconds(row.SoftwareMs)
	for _, listed := range row.Software {
		report.Software = append(report.Software, spoke.ListedSoftware{
			Service: spoke.ServiceName(listed.Service), Software: spoke.SoftwareVersion(listed.Version), Age: decodeMilliseconds(listed.AgeMs),
		})
	}
	for _, stream := range row.Origins {
		report.Origins = append(report.Origins, spoke.StreamOrigin{
			Request: spoke.RequestID(stream.Request), Software: spoke.SoftwareVersion(stream.Version), Age: decodeMilliseconds(stream.AgeMs),
		})
	}
}
