package forward

// ExplainedAdmission tells whether a VM admits a new flow, and by which figures. The zero
// value is that of a flow without a route.
type ExplainedAdmission struct {
	// Controlled is set if the service has admission control, which is so if its routes
	// differ in priority. Otherwise all flows are admitted, and Pressure and Limit are 0.
	Controlled bool `json:"controlled"`
	// Share is the admitted share of the openings of the flow's class, from 0 to 1. A
	// class consists of the flows of equal Priority and Long.
	Share float64 `json:"share"`
	// Pressure is the share of rejections among the recent answers of the service, and
	// Limit the pressure above which shares fall, both from 0 to 1.
	Pressure float64 `json:"pressure"`
	Limit    float64 `json:"limit"`
	// Verdict is that on the sequence number of the given packet. Flows of a class whose
	// Share is below 1 get different ones. It is "place", "wait" for the caller's
	// retransmission, or "reject".
	Verdict string `json:"verdict"`
	// RoomOverrides is set if the flow is placed in spite of another verdict, since the
	// upstream of least cost has room.
	RoomOverrides bool `json:"roomOverrides"`
}
