//! Handlers of queries from operators and peers: audit, status, metrics and settings.

use crate::control;
use crate::entry;
use crate::metrics;

impl actix::Handler<control::GetAudit> for entry::control::Control {
    type Result = actix::MessageResult<control::GetAudit>;

    fn handle(&mut self, message: control::GetAudit, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.settings_replica.audit(message.0))
    }
}

impl actix::Handler<control::GetStatus> for entry::control::Control {
    type Result = actix::MessageResult<control::GetStatus>;

    fn handle(&mut self, _message: control::GetStatus, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.core.status(self.now_ms()))
    }
}

impl actix::Handler<control::GetMetrics> for entry::control::Control {
    type Result = actix::MessageResult<control::GetMetrics>;

    fn handle(&mut self, _message: control::GetMetrics, _cx: &mut Self::Context) -> Self::Result {
        let samples: Vec<metrics::Sample> = self.core.samples(self.now_ms());
        actix::MessageResult(samples)
    }
}

impl actix::Handler<control::GetSettings> for entry::control::Control {
    type Result = actix::MessageResult<control::GetSettings>;

    fn handle(&mut self, message: control::GetSettings, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.settings_replica.reply(&message.0))
    }
}
