package wire

// typeNames holds the names of the types, which label the byte counters.
var typeNames = map[Type]string{
	TypeHello:         "hello",
	TypeHeartbeat:     "heartbeat",
	TypeAnnounce:      "announce",
	TypePull:          "pull",
	TypeUpdate:        "update",
	TypeDigest:        "digest",
	TypeRecords:       "records",
	TypeRecordPull:    "record_pull",
	TypeRefusal:       "refusal",
	TypeStatusRequest: "status_request",
	TypeStatusReply:   "status_reply",
	TypeGoodbye:       "goodbye",
	TypeClaimRequest:  "claim_request",
	TypeClaimReply:    "claim_reply",
	TypeCrashes:       "crashes",
	TypeFleetChanges:  "fleet_changes",

	TypeUpdateWithOrigin: "update_with_origin",
	TypeSourceReport:     "source_report",
}

// String returns the name of the type as in the labels of metrics.
func (t Type) String() string {
	if name, known := typeNames[t]; known {
		return name
	}
	return "unknown"
}
