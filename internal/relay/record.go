package relay

import (
	"strconv"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// logFailedSend logs a send that did not produce the final answer.
func (f *forwarder) logFailedSend(problem *verdict.Error) {
	fields := []zap.Field{
		zap.String("id", f.request.ID),
		zap.Int("send", f.sends),
		zap.Stringer("verdict", problem.Verdict),
		zap.String("reason", string(problem.Reason)),
		zap.String("cause", problem.Message),
	}
	fields = append(fields, f.received.fields()...)
	f.relay.cfg.Log.Info("send_failed", append(fields, f.choiceFields()...)...)
	f.relay.cfg.Metrics.sendFailed(problem.Reason)
}

// logEnd logs how the request ended and the choice of server behind it.
func (f *forwarder) logEnd() {
	now := monotime.Now()
	f.relay.cfg.Metrics.ended(f, now)
	fields := []zap.Field{
		zap.String("id", f.request.ID),
		zap.Int("status", f.status),
		zap.String("reason", string(f.reason)),
		zap.Stringer("verdict", f.worst),
		zap.Duration("took_ms", now.Sub(f.arrived)),
		zap.Int("sends", f.sends),
	}
	if f.request.Deadline > 0 {
		fields = append(fields, zap.Duration("deadline_ms", f.request.Deadline))
	}
	if f.retryAfter > 0 {
		fields = append(fields, zap.Duration("come_back_ms", f.retryAfter))
	}
	if f.request.ResumeAfter != "" {
		fields = append(fields, zap.String("resumes", f.request.FirstTry), zap.String("resume_after", f.request.ResumeAfter))
	}
	if f.cause != nil {
		fields = append(fields, zap.String("cause", f.cause.Error()))
	}
	if f.table != nil {
		fields = append(fields, zap.Int64("config", f.table.Version()))
	}
	if f.route != nil {
		fields = append(fields, zap.String("route", f.route.Name), zap.String("service", f.service), zap.Int("rank", f.table.Rank(f.route, f.customer)))
	}
	if f.firstByte != 0 {
		fields = append(fields, zap.Duration("first_ms", f.firstByte.Sub(f.arrived)))
	}
	fields = append(fields, f.received.fields()...)
	if f.framing != "" {
		fields = append(fields, zap.String("caller_framing", string(f.framing)), zap.String("caller_end", string(f.callerEnd())))
	}
	fields = append(fields, f.choiceFields()...)
	if f.stream.longestGap > 0 {
		fields = append(fields,
			zap.Duration("longest_gap_ms", f.stream.longestGap),
			zap.Duration("max_gap_ms", f.work.MaxGap))
	}
	f.relay.cfg.Log.Info("request_ended", fields...)
}

// choiceFields describe the server chosen last and the figures that decided the choice.
func (f *forwarder) choiceFields() []zap.Field {
	if f.target.ID == "" {
		return nil
	}
	choice := f.target.Choice
	fields := []zap.Field{
		zap.String("server", f.target.ID),
		zap.String("software", f.target.Software),
		zap.Duration("entry_age_ms", f.target.EntryAge),
		zap.Int("running", choice.Running),
		zap.Bool("preempts", choice.Preempts),
		zap.String("cost", strconv.FormatFloat(choice.Cost, 'f', 3, 64)),
	}
	if f.via != nil {
		fields = append(fields, zap.String("via", f.via.Peer), zap.String("tunnel", f.via.Tunnel))
	}
	if f.work.Prompt == 0 {
		return fields
	}
	return append(fields,
		zap.Duration("predicted_first_ms", choice.First),
		zap.Duration("predicted_gap_ms", choice.Gap),
		zap.Duration("predicted_end_ms", choice.End),
		zap.Int("unread", choice.Unread),
		zap.Int("prompt", f.work.Prompt),
		zap.Ints("ahead_prompts", choice.Ahead.Prompts[:]),
		zap.Ints("ahead_tokens", choice.Ahead.Tokens[:]),
		zap.String("fetch_from", choice.FetchFrom))
}
