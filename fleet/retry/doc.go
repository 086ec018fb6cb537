// Package retry limits how often requests are sent again.
//
// A Budget allows retries and hedged requests as a fraction of recent requests,
// so that retries cannot amplify an overload. A Latency tracks response times;
// its quantiles give the delay after which a request is hedged.
package retry
