package gateway

import "greengagedock.example/dispatch"

// accountGauge is the gauge of one account's usage of a service. Times are slot time in
// milliseconds, with a decay time of a second.
type accountGauge struct {
	Account string `json:"account"`
	Usage   int64  `json:"usage_ms"`
	// Share is the usage beyond which the account's requests yield to others, -1 while
	// there is enough for all.
	Share   int64 `json:"share_ms"`
	Refused int64 `json:"refused"`
	Delayed int64 `json:"delayed"`
}

// accountGauges returns the gauges by service.
func accountGauges(usages map[string][]dispatch.AccountUsage) map[string][]accountGauge {
	out := make(map[string][]accountGauge)
	for service, accounts := range usages {
		for _, u := range accounts {
			gauge := accountGauge{Account: u.Account(), Usage: u.Usage().Milliseconds(), Share: -1, Refused: u.Refusals(), Delayed: u.Delays()}
			if share, limited := u.Share(); limited {
				gauge.Share = share.Milliseconds()
			}
			out[service] = append(out[service], gauge)
		}
	}
	return out
}
