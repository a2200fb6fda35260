//! An entry's calls to runners: orders, and the watch that is always open at each.

use std::sync;
use std::time;

use actix::AsyncContext as _;
use smol_str::SmolStr;

use crate::leased::dispatch::runners;
use crate::leased::entry;
use crate::leased::messages;
use crate::leased::traffic;
use crate::outgoing;
use crate::wire;

/// Time for a watch beyond its wait, and for an order: a lost packet is sent again within
/// 200 ms.
const REPLY_LIMIT: time::Duration = time::Duration::from_millis(250);

/// Pause before a runner that didn't answer is asked again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Pause for one that was silent for long.
const LONG_RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Watches without an answer after which the pauses are long.
const FEW_FAILURES: u32 = 10;

impl entry::Control {
    pub(super) fn send(
        &self,
        cx: &actix::Context<Self>,
        key: runners::RunnerKey,
        address: SmolStr,
        order: messages::Order,
    ) {
        let control = cx.address();
        self.parts.pool.run(move |client| async move {
            let sent = deliver(&client, &address, &order).await;
            control.do_send(OrderAnswered { key, order, sent });
        });
    }

    pub(super) fn keep_watching(&self, cx: &actix::Context<Self>, key: runners::RunnerKey) {
        let control = cx.address();
        let traffic = sync::Arc::clone(&self.parts.traffic);
        self.parts
            .pool
            .run(move |client| watch(client, control, key, traffic));
    }
}

/// Sends an order, and once more on a new connection if nothing was heard.
///
/// A reset or silent connection may have swallowed the order or only its answer. Left at
/// that, its runs are known to be over only once the order has expired, 600 ms later, which
/// makes every job of them late; the runner takes an order that it has already as the same.
async fn deliver(
    client: &awc::Client,
    address: &str,
    order: &messages::Order,
) -> Result<messages::OrderReply, outgoing::CallError> {
    let path = messages::ORDER_PATH;
    let why = match outgoing::post(client, address, path, order, REPLY_LIMIT).await {
        Err(outgoing::CallError::Lost(why)) => why,
        sent => return sent,
    };
    log::info!(event = "order.again", runner = address, number = order.number, runs = order.starts.len(), why = why.as_str(); "no answer; sent again");
    let again = outgoing::post_on_new_connection(address, path, order, REPLY_LIMIT).await;
    // That no second connection was made says nothing of the first.
    again.map_err(|e| outgoing::CallError::Lost(format!("{why}; again: {e}")))
}

/// Keeps a watch open at a runner until it is forgotten.
async fn watch(
    client: awc::Client,
    control: actix::Addr<entry::Control>,
    key: runners::RunnerKey,
    traffic: sync::Arc<traffic::Traffic>,
) {
    let mut failures = 0;
    while let Ok(Some((address, watch))) = control.send(NextWatch(key)).await {
        let limit = time::Duration::from_millis(watch.wait_ms) + REPLY_LIMIT;
        let path = messages::WATCH_PATH;
        let is_fresh = failures > 0;
        let client = if is_fresh {
            outgoing::client()
        } else {
            client.clone()
        };
        let body = match wire::encode(&watch) {
            Ok(body) => body,
            Err(e) => {
                log::error!(event = "wire.encode_failed"; "{e}");
                return;
            }
        };
        let bytes = body.len();
        traffic.watches.add(bytes);
        let sent = outgoing::post_encoded(&client, &address, path, body, limit).await;
        match sent {
            Ok(report) => {
                failures = 0;
                control.do_send(Reported(key, report));
            }
            Err(e) => {
                failures += 1;
                traffic.watches.add_lost();
                if failures == 1 {
                    log::warn!(event = "watch.lost", runner = address.as_str(), limit_ms = limit.as_millis(), bytes = bytes; "{e}");
                }
                let is_long = failures > FEW_FAILURES;
                tokio::time::sleep(if is_long {
                    LONG_RETRY_PAUSE
                } else {
                    RETRY_PAUSE
                })
                .await;
            }
        }
    }
}

#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Option<(SmolStr, messages::Watch)>")]
struct NextWatch(runners::RunnerKey);

impl actix::Handler<NextWatch> for entry::Control {
    type Result = Option<(SmolStr, messages::Watch)>;

    fn handle(&mut self, NextWatch(key): NextWatch, _cx: &mut Self::Context) -> Self::Result {
        let now_ms = self.now_ms();
        let (address, mut watch) = self.dispatcher.next_watch(now_ms, key)?;
        watch.address = Some(self.parts.address.clone());
        Some((address, watch))
    }
}

#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
struct Reported(runners::RunnerKey, messages::Report);

impl actix::Handler<Reported> for entry::Control {
    type Result = ();

    fn handle(&mut self, Reported(key, report): Reported, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        let actions = self.dispatcher.report_received(now_ms, key, report);
        self.act(cx, actions);
    }
}

#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
struct OrderAnswered {
    key: runners::RunnerKey,
    order: messages::Order,
    sent: Result<messages::OrderReply, outgoing::CallError>,
}

impl actix::Handler<OrderAnswered> for entry::Control {
    type Result = ();

    fn handle(&mut self, heard: OrderAnswered, cx: &mut Self::Context) {
        let now_ms = self.now_ms();
        let actions = match heard.sent {
            Ok(reply) => self
                .dispatcher
                .order_answered(now_ms, heard.key, &heard.order, reply),
            Err(e) => {
                let is_unsent = matches!(e, outgoing::CallError::NotSent(_));
                self.dispatcher
                    .order_lost(now_ms, heard.key, &heard.order, is_unsent)
            }
        };
        self.act(cx, actions);
    }
}
