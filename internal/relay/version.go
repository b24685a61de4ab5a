package relay

import (
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/verdict"
)

// firstTry returns the id of the try that brought the first event of a stream that is taken
// up, and the request's own id otherwise.
func (f *forwarder) firstTry() string {
	if f.route.Resumable && f.request.ResumeAfter != "" && f.request.FirstTry != "" {
		return f.request.FirstTry
	}
	return f.request.ID
}

// bindVersion restricts a stream that a caller resumes to servers of the software version
// that began it. What two versions write does not fit together, and servers do not check.
func (f *forwarder) bindVersion() *failure {
	if !f.route.Resumable || f.request.ResumeAfter == "" {
		return nil
	}
	origin := f.relay.cfg.Fleet.StreamOrigin(f.ctx, f.service, f.request.FirstTry)
	if !origin.Known {
		f.relay.cfg.Log.Info("stream_unknown",
			zap.String("id", f.request.ID),
			zap.String("resumes", f.request.FirstTry),
			zap.String("service", f.service),
			zap.Duration("view_age_ms", origin.Age))
		return unavailable(verdict.ReasonUnknownStream, jitter(retryElsewhere))
	}
	f.work.Software = placement.OnlySoftware(origin.Version)
	f.relay.cfg.Log.Info("stream_resumed",
		zap.String("id", f.request.ID),
		zap.String("resumes", f.request.FirstTry),
		zap.String("software", origin.Version),
		zap.String("known_from", origin.From),
		zap.Duration("known_ms", origin.Age))
	return nil
}

// recordVersion binds a stream that may be resumed to the software version of the server
// whose first event the caller gets.
func (f *forwarder) recordVersion() {
	if !f.route.Resumable {
		return
	}
	f.work.Software = placement.OnlySoftware(f.target.Software)
	if f.request.ResumeAfter == "" {
		f.relay.cfg.Fleet.StreamBegan(f.service, f.request.ID, f.target.Software, monotime.Now())
	}
}
