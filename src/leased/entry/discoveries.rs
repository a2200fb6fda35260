//! What the store and other entries tell an entry: runners, entries and directives.

use crate::leased::entry;
use crate::leased::ports;

impl actix::Handler<ports::RunnersDiscovered> for entry::Control {
    type Result = ();

    fn handle(
        &mut self,
        ports::RunnersDiscovered(addresses): ports::RunnersDiscovered,
        cx: &mut Self::Context,
    ) {
        let now_ms = self.now_ms();
        let actions = self.dispatcher.add_runners(now_ms, &addresses);
        self.act(cx, actions);
    }
}

impl actix::Handler<ports::RunnersListed> for entry::Control {
    type Result = ();

    fn handle(
        &mut self,
        ports::RunnersListed(members): ports::RunnersListed,
        cx: &mut Self::Context,
    ) {
        let now_ms = self.now_ms();
        let actions = self.dispatcher.update_listing(now_ms, &members);
        self.act(cx, actions);
    }
}

impl actix::Handler<ports::EntriesListed> for entry::Control {
    type Result = ();

    fn handle(
        &mut self,
        ports::EntriesListed(entries): ports::EntriesListed,
        cx: &mut Self::Context,
    ) {
        log::info!(event = "entry.listed", entries = entries.len(); "received the list of entries");
        self.entry_list.replace(entries);
        self.update_cancel_peers(cx);
    }
}

impl actix::Handler<ports::EntriesDiscovered> for entry::Control {
    type Result = ();

    fn handle(
        &mut self,
        ports::EntriesDiscovered(entries): ports::EntriesDiscovered,
        cx: &mut Self::Context,
    ) {
        self.entry_list.discover(entries);
        self.update_cancel_peers(cx);
    }
}

impl actix::Handler<ports::DirectivesReceived> for entry::Control {
    type Result = ();

    fn handle(&mut self, received: ports::DirectivesReceived, _cx: &mut Self::Context) {
        let ports::DirectivesReceived { directives, from } = received;
        let (position, version) = (directives.position, directives.version);
        let is_newer = self.dispatcher.update_directives(directives);
        log::info!(event = "directives.heard", from = from.as_str(), position = position, version = version, news = is_newer; "received directives");
        self.publish_view();
    }
}
