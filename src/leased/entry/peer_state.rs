//! What an entry learns from another one: where runners are, and what operators ask for.

use std::sync;
use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;

use crate::leased::entry;
use crate::leased::messages;
use crate::leased::ports;
use crate::outgoing;
use crate::receiving;

/// How long another entry's answer is waited for; it grows with what operators configure.
const LIMITS: receiving::Limits = receiving::Limits {
    head: time::Duration::from_millis(500),
    gap: time::Duration::from_millis(500),
    bytes: outgoing::MAX_MESSAGE_BYTES,
};

/// Asks another entry for what it knows, and hands that to the control thread.
pub async fn fetch_from_peer(from: SmolStr, control: &actix::Addr<entry::Control>) {
    let path = messages::KNOWN_PATH;
    let asked: Result<messages::Known, _> = outgoing::fetch(&from, path, LIMITS).await;
    let known = match asked {
        Ok(known) => known,
        Err(e) => {
            log::info!(event = "entry.unlearned", from = from.as_str(); "{e}");
            return;
        }
    };
    log::info!(event = "entry.learned", from = from.as_str(), runners = known.runners.len(), has_directives = known.directives.is_some(); "from another entry");
    control.do_send(ports::RunnersDiscovered(known.runners));
    if let Some(directives) = known.directives {
        let directives = sync::Arc::unwrap_or_clone(directives);
        control.do_send(ports::DirectivesReceived { directives, from });
    }
}

impl entry::Control {
    pub(super) fn learn(&self, cx: &actix::Context<Self>, from: SmolStr) {
        let control = cx.address();
        self.parts.pool.run(move |_client| async move {
            fetch_from_peer(from, &control).await;
            control.do_send(Learned);
        });
    }
}

/// Another entry was asked, and all that it answered has been handed over.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
struct Learned;

impl actix::Handler<Learned> for entry::Control {
    type Result = ();

    fn handle(&mut self, _learned: Learned, _cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.dispatcher.fetch_answered(now_ms);
    }
}
