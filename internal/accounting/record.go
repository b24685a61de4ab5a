package accounting

import (
	"go.uber.org/zap/zapcore"

	"basilrudder/internal/schema/accounting"
)

// recordMessage is the message of accounting lines. The report finds the lines by it.
const recordMessage = "accounting"

// recordMarshaler encodes a Record as zap fields without reflection.
type recordMarshaler accounting.Record

// MarshalLogObject implements zapcore.ObjectMarshaler. It omits zero values of optional
// fields, which are the defaults in the schema.
func (f *recordMarshaler) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("kind", string(f.Kind))
	enc.AddString("instance", f.Instance)
	enc.AddString("incarnation", f.Incarnation)
	enc.AddString("request", f.Request)
	enc.AddInt("seq", f.Seq)
	addStrings(enc, f)
	addInts(enc, f)
	addFloats(enc, f)
	addBool(enc, "on_time", f.OnTime)
	addBool(enc, "delivered", f.Delivered)
	return nil
}

func addStrings(enc zapcore.ObjectEncoder, f *recordMarshaler) {
	addString(enc, "customer", f.Customer)
	addString(enc, "class", f.Class)
	addString(enc, "server", f.Server)
	addString(enc, "engine", f.Engine)
	addString(enc, "group", f.Group)
	addString(enc, "verdict", f.Verdict)
	addString(enc, "reason", f.Reason)
	addString(enc, "message", f.Message)
}

func addInts(enc zapcore.ObjectEncoder, f *recordMarshaler) {
	addInt(enc, "tier", f.Tier)
	addInt(enc, "attempt", f.Attempt)
	addInt(enc, "status", f.Status)
	addInt(enc, "prompt_tokens", f.PromptTokens)
	addInt(enc, "tokens", f.Tokens)
	addInt(enc, "wasted_tokens", f.WastedTokens)
	addInt(enc, "retry_after_ms", f.RetryAfterMS)
	addInt(enc, "revision", f.Revision)
}

func addFloats(enc zapcore.ObjectEncoder, f *recordMarshaler) {
	addFloat(enc, "queue_ms", f.QueueMS)
	addFloat(enc, "first_token_ms", f.FirstTokenMS)
	addFloat(enc, "gap_p95_ms", f.GapP95MS)
	addFloat(enc, "total_ms", f.TotalMS)
	addFloat(enc, "age_ms", f.AgeMS)
}

func addString(enc zapcore.ObjectEncoder, key, value string) {
	if value != "" {
		enc.AddString(key, value)
	}
}

func addInt(enc zapcore.ObjectEncoder, key string, value int) {
	if value != 0 {
		enc.AddInt(key, value)
	}
}

func addFloat(enc zapcore.ObjectEncoder, key string, value float64) {
	if value != 0 {
		enc.AddFloat64(key, value)
	}
}

func addBool(enc zapcore.ObjectEncoder, key string, value bool) {
	if value {
		enc.AddBool(key, value)
	}
}
