package wire

import (
	"encoding/base64"
	"fmt"
	"math"

	"aniseloft/decide"
)

// The kinds of outgoing actions, as the wire names them.
const (
	actionStartAttempt  = "Place"
	actionCancelAttempt = "Cancel"
	actionReject        = "Shed"
	actionFail          = "RespondError"
	actionSetResources  = "SetTerms"
	actionStartTimer    = "WakeMe"
	actionProbe         = "Check"
	actionSendGossip    = "Say"
	actionLog           = "JournalLine"
	actionSubscribe     = "Observe"
	actionFault         = "Bug" // the balancer panicked or returned an action that can't be encoded
)

type (
	startAttemptAction struct {
		Kind      string  `json:"what"`
		Balancer  int     `json:"gateway"`
		RequestID string  `json:"ref"`
		Endpoint  uint64  `json:"engine"`
		TimeoutMS float64 `json:"giveUpAfterMs,omitempty"`
	}
	cancelAttemptAction struct {
		Kind      string `json:"what"`
		Balancer  int    `json:"gateway"`
		RequestID string `json:"ref"`
		Attempt   int    `json:"try"`
	}
	finalAction struct {
		Kind         string  `json:"what"`
		Balancer     int     `json:"gateway"`
		RequestID    string  `json:"ref"`
		RetryAfterMS float64 `json:"retryInMs,omitempty"`
	}
	setResourcesAction struct {
		Kind      string `json:"what"`
		Balancer  int    `json:"gateway"`
		RequestID string `json:"ref"`
		GrantMB   int64  `json:"grantMb"`
		Priority  int    `json:"rank"`
	}
	startTimerAction struct {
		Kind     string  `json:"what"`
		Balancer int     `json:"gateway"`
		AfterMS  float64 `json:"fromNowMs"`
		Token    string  `json:"cookie"`
	}
	probeAction struct {
		Kind     string `json:"what"`
		Balancer int    `json:"gateway"`
		Endpoint uint64 `json:"engine"`
	}
	sendGossipAction struct {
		Kind     string `json:"what"`
		Balancer int    `json:"gateway"`
		Receiver *int   `json:"neighbourId"` // nil: all balancers
		Data     string `json:"contents"`    // base64
	}
	textAction struct {
		Kind     string `json:"what"`
		Balancer int    `json:"gateway"`
		Text     string `json:"text"`
	}
	subscribeAction struct {
		Kind      string `json:"what"`
		Balancer  int    `json:"gateway"`
		Subscribe bool   `json:"want"`
	}
)

// encodeAction converts one action of a balancer to its wire message.
func encodeAction(balancer int, action decide.Action) any {
	switch a := action.(type) {
	case decide.StartAttempt: // the wire has no field for StartBefore
		return startAttemptAction{actionStartAttempt, balancer, string(a.ID), uint64(a.Endpoint), a.Timeout}
	case decide.CancelAttempt:
		return cancelAttemptAction{actionCancelAttempt, balancer, string(a.ID), a.Attempt}
	case decide.Reject:
		return finalAction{actionReject, balancer, string(a.ID), a.RetryAfter}
	case decide.Fail:
		return finalAction{actionFail, balancer, string(a.ID), 0}
	case decide.SetAttemptResources:
		return setResourcesAction{actionSetResources, balancer, string(a.ID), int64(math.Ceil(a.GrantMB)), a.Priority}
	case decide.StartTimer:
		return startTimerAction{actionStartTimer, balancer, a.After, a.Token}
	case decide.Probe:
		return probeAction{actionProbe, balancer, uint64(a.Endpoint)}
	case decide.SendGossip:
		return encodeGossip(balancer, a)
	case decide.Log:
		return textAction{actionLog, balancer, describeLog(a)}
	case decide.Subscribe:
		return subscribeAction{actionSubscribe, balancer, true}
	}
	return textAction{actionFault, balancer, fmt.Sprintf("action %T has no place on the wire", action)}
}

func encodeGossip(balancer int, a decide.SendGossip) sendGossipAction {
	encoded := sendGossipAction{Kind: actionSendGossip, Balancer: balancer, Data: base64.StdEncoding.EncodeToString(a.Data)}
	if a.To != decide.AllPeers {
		encoded.Receiver = &a.To
	}
	return encoded
}

// ejectionReasonTexts are the texts for the reasons of an ejection on the wire.
var ejectionReasonTexts = map[decide.EjectionReason]string{
	decide.EjectedConnectFailed:     "connections fail",
	decide.EjectedDomainUnreachable: "those alike refuse",
	decide.EjectedErrors:            "errors in a row",
	decide.EjectedTrialFailed:       "trial unanswered",
	decide.EjectedUnresponsive:      "silent",
	decide.EjectedProbeTimeout:      "probe unanswered",
}

func describeLog(line decide.Log) string {
	if line.Message == decide.LogEndpointRestored {
		return fmt.Sprintf("engine %d back in rotation", line.Endpoint)
	}
	return fmt.Sprintf("engine %d ejected: %s", line.Endpoint, ejectionReasonTexts[line.Reason])
}
