//! Handlers of queries from operators and peers: audit, status, metrics and settings.

use crate::control;
use crate::entry;
use crate::metrics;

impl actix::Handler<control::WantAudit> for entry::control::Control {
    type Result = actix::MessageResult<control::WantAudit>;

    fn handle(&mut self, message: control::WantAudit, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.keeper.audit(message.0))
    }
}

impl actix::Handler<control::WantStatus> for entry::control::Control {
    type Result = actix::MessageResult<control::WantStatus>;

    fn handle(&mut self, _message: control::WantStatus, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.core.status(self.now_ms()))
    }
}

impl actix::Handler<control::WantMetrics> for entry::control::Control {
    type Result = actix::MessageResult<control::WantMetrics>;

    fn handle(&mut self, _message: control::WantMetrics, _cx: &mut Self::Context) -> Self::Result {
        let samples: Vec<metrics::Sample> = self.core.samples(self.now_ms());
        actix::MessageResult(samples)
    }
}

impl actix::Handler<control::WantSettings> for entry::control::Control {
    type Result = actix::MessageResult<control::WantSettings>;

    fn handle(&mut self, message: control::WantSettings, _cx: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.keeper.reply(&message.0))
    }
}
