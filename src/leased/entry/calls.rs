//! Calls of an entry to runners: orders, and one watch that is kept open at each.

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

/// Time-out of an order, and of a watch beyond its wait: a lost packet is retransmitted within
/// 200 ms.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Pause before the next watch after one without an answer.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// The same after more than [`MAX_SHORT_PAUSES`] watches in a row without an answer.
const LONG_RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Number of watches in a row without an answer that are followed by the short pause.
const MAX_SHORT_PAUSES: u32 = 10;

impl entry::Control {
    pub(super) fn send(
        cx: &actix::Context<Self>,
        key: runners::RunnerKey,
        address: SmolStr,
        order: messages::Order,
    ) {
        let control = cx.address();
        actix_rt::spawn(async move {
            let client = outgoing::thread_client();
            let sent = send_with_retry(&client, &address, &order).await;
            control.do_send(OrderAnswered {
                key,
                order,
                is_resent: sent.is_resent,
                response: sent.response,
            });
        });
    }

    pub(super) fn start_watch(&self, cx: &actix::Context<Self>, key: runners::RunnerKey) {
        let control = cx.address();
        let traffic = sync::Arc::clone(&self.parts.traffic);
        let client = outgoing::thread_client();
        actix_rt::spawn(watch_loop(client, control, key, traffic));
    }
}

/// Result of sending an order.
struct SentOrder {
    /// Whether it was sent a second time.
    is_resent: bool,
    response: Result<messages::OrderReply, outgoing::CallError>,
}

/// Sends an order, and resends it once on a new connection if no answer is received.
///
/// If a connection is reset or silent, either the order or only its answer may be lost. Without
/// a second attempt, it would be unknown until the order has expired, 300 ms later, whether its
/// runs are running, which makes all their jobs late. The runner recognises a repeated order by
/// its number.
async fn send_with_retry(
    client: &awc::Client,
    address: &str,
    order: &messages::Order,
) -> SentOrder {
    let path = messages::ORDER_PATH;
    let why = match outgoing::post(client, address, path, order, REPLY_TIMEOUT).await {
        Err(outgoing::CallError::Lost(why)) => why,
        response => {
            return SentOrder {
                is_resent: false,
                response,
            };
        }
    };
    log::info!(event = "order.again", runner = address, number = order.number, runs = order.starts.len(), why = why.as_str(); "order not answered; resending on a new connection");
    let second = outgoing::post_on_new_connection(address, path, order, REPLY_TIMEOUT).await;
    // Even if the second attempt was never sent, the first one may have arrived.
    let response =
        second.map_err(|e| outgoing::CallError::Lost(format!("{why}; second attempt: {e}")));
    SentOrder {
        is_resent: true,
        response,
    }
}

/// Keeps a watch open at a runner until the dispatcher closes it or removes the runner.
async fn watch_loop(
    client: awc::Client,
    control: actix::Addr<entry::Control>,
    key: runners::RunnerKey,
    traffic: sync::Arc<traffic::Traffic>,
) {
    let mut failures = 0;
    while let Ok(Some((address, watch))) = control.send(NextWatch(key)).await {
        let timeout = time::Duration::from_millis(watch.wait_ms) + REPLY_TIMEOUT;
        let path = messages::WATCH_PATH;
        let needs_new_connection = failures > 0;
        let client = if needs_new_connection {
            outgoing::client()
        } else {
            client.clone()
        };
        let body = match wire::encode(&watch) {
            Ok(body) => body,
            Err(e) => {
                log::error!(event = "wire.encode_failed"; "stopped watching the runner: {e}");
                return;
            }
        };
        let bytes = body.len();
        traffic.watches.add(bytes);
        let response = outgoing::post_encoded(&client, &address, path, body, timeout).await;
        match response {
            Ok(report) => {
                failures = 0;
                control.do_send(ReportReceived(key, report));
            }
            Err(e) => {
                failures += 1;
                traffic.watches.add_lost();
                if failures == 1 {
                    log::warn!(event = "watch.lost", runner = address.as_str(), limit_ms = timeout.as_millis(), bytes = bytes; "watch failed, retrying: {e}");
                }
                let is_long = failures > MAX_SHORT_PAUSES;
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
struct ReportReceived(runners::RunnerKey, messages::Report);

impl actix::Handler<ReportReceived> for entry::Control {
    type Result = ();

    fn handle(&mut self, ReportReceived(key, report): ReportReceived, cx: &mut Self::Context) {
        let now_ms = self.read_clock();
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
    is_resent: bool,
    response: Result<messages::OrderReply, outgoing::CallError>,
}

impl actix::Handler<OrderAnswered> for entry::Control {
    type Result = ();

    fn handle(&mut self, answer: OrderAnswered, cx: &mut Self::Context) {
        let now_ms = self.read_clock();
        if answer.is_resent {
            self.dispatcher.order_resent(answer.key, &answer.order);
        }
        let actions = match answer.response {
            Ok(reply) => self
                .dispatcher
                .order_answered(now_ms, answer.key, &answer.order, reply),
            Err(e) => {
                let is_unsent = matches!(e, outgoing::CallError::NotSent(_));
                self.dispatcher
                    .order_lost(now_ms, answer.key, &answer.order, is_unsent)
            }
        };
        self.act(cx, actions);
    }
}
