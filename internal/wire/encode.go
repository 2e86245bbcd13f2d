package wire

import (
	"encoding/base64"
	"encoding/json"
	"strconv"

	"starlingvalve/decide"
)

// Reply holds the actions of one instance (a simulated node) in answer to a batch.
type Reply struct {
	Node    int
	Actions []decide.Action
}

// AppendReply appends the JSON line that answers a batch to b, with its newline. Instances without actions are left
// out.
func AppendReply(b []byte, replies []Reply) []byte {
	b = append(b, `{"groups":[`...)
	first := true
	for _, r := range replies {
		if len(r.Actions) == 0 {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = append(b, `{"node_id":`...)
		b = strconv.AppendInt(b, int64(r.Node), 10)
		b = append(b, `,"actions":[`...)
		for i, a := range r.Actions {
			if i > 0 {
				b = append(b, ',')
			}
			b = appendAction(b, a)
		}
		b = append(b, "]}"...)
	}
	return append(b, "]}\n"...)
}

// appendAction appends one action as a JSON object with one key, the action's name.
func appendAction(b []byte, a decide.Action) []byte {
	switch a := a.(type) {
	case decide.Send:
		b = appendText(b, `{"assign":{"req":`, string(a.ID))
		b = appendInt(b, `,"backend":`, int64(a.Server))
		if a.Timeout != 0 {
			b = appendInt(b, `,"try_for_ns":`, int64(a.Timeout))
		}
	case decide.Refuse:
		b = appendText(b, `{"deny":{"req":`, string(a.ID))
		if a.HoldOff > 0 {
			b = appendInt(b, `,"hold_off_ns":`, int64(a.HoldOff))
		}
	case decide.Fail:
		b = appendText(b, `{"fail":{"req":`, string(a.ID))
	case decide.CancelAttempt:
		b = appendText(b, `{"stop_attempt":{"req":`, string(a.ID))
		b = appendInt(b, `,"leg":`, int64(a.Attempt))
	case decide.SetTimer:
		b = appendInt(b, `{"arm":{"from_now_ns":`, int64(a.After))
		b = appendInt(b, `,"label":`, a.Token)
	case decide.Probe:
		b = appendInt(b, `{"probe":{"backend":`, int64(a.Server))
	case decide.SendMessage:
		if a.ToAll {
			b = append(b, `{"tell":{"dest":"*"`...)
		} else {
			b = appendInt(b, `{"tell":{"dest":`, int64(a.To))
		}
		b = appendText(b, `,"bytes":`, base64.StdEncoding.EncodeToString(a.Data))
	case decide.Subscribe:
		b = append(b, `{"subscribe":{"want":`...)
		b = strconv.AppendBool(b, a.On)
	case decide.FetchList:
		b = append(b, `{"reload":{`...)
	case decide.CloseIdle:
		b = appendInt(b, `{"disconnect":{"backend":`, int64(a.Server))
	case decide.Log:
		b = appendText(b, `{"trace":{"message":`, a.Line)
	}
	return append(b, "}}"...)
}

// appendInt appends the literal text before, and then an integer.
func appendInt(b []byte, before string, v int64) []byte {
	return strconv.AppendInt(append(b, before...), v, 10)
}

// appendText appends the literal text before, and then a JSON string.
func appendText(b []byte, before, text string) []byte {
	quoted, _ := json.Marshal(text) // the error is always nil for a string
	return append(append(b, before...), quoted...)
}
