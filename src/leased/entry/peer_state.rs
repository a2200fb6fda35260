//! Fetches runner addresses and directives from another entry.

use std::sync;
use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;

use crate::leased::entry;
use crate::leased::messages;
use crate::leased::ports;
use crate::outgoing;
use crate::receiving;

/// Limits on the answer, whose size grows with the configuration.
const LIMITS: receiving::Limits = receiving::Limits {
    head: time::Duration::from_millis(500),
    gap: time::Duration::from_millis(500),
    bytes: outgoing::MAX_MESSAGE_BYTES,
};

/// Fetches runner addresses and directives from another entry and passes them to the control
/// thread.
pub async fn fetch_from_peer(from: SmolStr, control: &actix::Addr<entry::Control>) {
    let path = messages::KNOWN_PATH;
    let response: Result<messages::Known, _> = outgoing::fetch(&from, path, LIMITS).await;
    let known = match response {
        Ok(known) => known,
        Err(e) => {
            log::info!(event = "entry.unlearned", from = from.as_str(); "can't fetch the state of another entry: {e}");
            return;
        }
    };
    log::info!(event = "entry.learned", from = from.as_str(), runners = known.runners.len(), has_directives = known.directives.is_some(); "received the state of another entry");
    let (mut runners, mut entries) = (known.runners, known.entries);
    runners.retain(|address| ports::is_address(address));
    entries.retain(|entry| ports::is_address(&entry.address));
    control.do_send(ports::RunnersDiscovered(runners));
    control.do_send(ports::EntriesDiscovered(entries));
    if let Some(directives) = known.directives {
        let directives = sync::Arc::unwrap_or_clone(directives);
        control.do_send(ports::DirectivesReceived { directives, from });
    }
}

impl entry::Control {
    pub(super) fn fetch_known(&self, cx: &actix::Context<Self>, from: SmolStr) {
        let control = cx.address();
        self.parts.pool.run(move |_client| async move {
            fetch_from_peer(from, &control).await;
            control.do_send(FetchFinished);
        });
    }
}

/// A fetch has ended, and its result, if any, has been passed to the control thread.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
struct FetchFinished;

impl actix::Handler<FetchFinished> for entry::Control {
    type Result = ();

    fn handle(&mut self, _finished: FetchFinished, _cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        self.dispatcher.fetch_answered(now_ms);
    }
}
