package admission

// Decision is the decision on a Request with the figures that it goes by.
type Decision struct {
	Verdict Verdict
	// Share is the admitted share of the openings of the request's class, from 0 to 1.
	Share float64
	// Pressure is the share of rejections among the recent answers of the service, and
	// Limit the pressure above which shares fall, both from 0 to 1.
	Pressure, Limit float64
}
