//! Replies that leave out the entry list, compared with replies that always contain it.

use bulrushtiller::ids;
use bulrushtiller::membership::contacts;
use bulrushtiller::membership::entry_list;
use bulrushtiller::wire;
use proptest::collection;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner;
use smol_str::SmolStr;

use crate::fixed_seed;

const ADDRESS: SmolStr = SmolStr::new_static("10.0.0.1:1");

fn peer(place: u64, incarnation: u64) -> wire::Peer {
    wire::Peer {
        role: wire::Role::Entry,
        name: smol_str::format_smolstr!("entry-{place}"),
        incarnation: ids::Incarnation(incarnation),
        zone: SmolStr::new_static("bento"),
        rack: SmolStr::new_static("a"),
        address: smol_str::format_smolstr!("10.0.1.{place}:1"),
    }
}

fn reply(incarnation: u64, entries: Vec<wire::Peer>, digest: Option<u64>) -> wire::HeartbeatReply {
    wire::HeartbeatReply {
        version: wire::VERSION,
        sender: peer(0, incarnation),
        leaving: false,
        revision: None,
        evidence: wire::Evidence::default(),
        entries,
        entries_digest: digest,
        slots: 0,
        tickets: None,
        bad_runners: Vec::new(),
    }
}

/// The replying process. One of the previous release sends no digests.
#[derive(Clone, Debug)]
struct Responder {
    incarnation: u64,
    entries: Vec<wire::Peer>,
    is_previous_release: bool,
}

impl Responder {
    fn answer(&self, held: Option<u64>) -> wire::HeartbeatReply {
        if self.is_previous_release {
            return reply(self.incarnation, self.entries.clone(), None);
        }
        let list = entry_list::EntryList::new(
            ids::Incarnation(self.incarnation),
            self.entries.clone(),
            held,
        );
        reply(self.incarnation, list.entries, list.digest)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// The list changes to these entries, all of this incarnation, in this order.
    Change(Vec<u64>, u64),
    /// Another process takes over the address, of the previous release if true.
    Replace(bool),
    /// A heartbeat is sent and answered at once.
    Send,
    /// A reply arrives to a heartbeat with the digest that was held at the previous one.
    Late,
}

fn any_step() -> impl Strategy<Value = Step> {
    let places = collection::vec(1_u64..5, 0..4);
    prop_oneof![
        2 => (places, 1_u64..3)
            .prop_map(|(places, incarnation)| Step::Change(places, incarnation)),
        1 => proptest::bool::ANY.prop_map(Step::Replace),
        6 => proptest::strategy::Just(Step::Send),
        1 => proptest::strategy::Just(Step::Late),
    ]
}

fn held(contacts: &contacts::Contacts) -> Option<u64> {
    contacts
        .targets()
        .first()
        .and_then(|target| target.entries_held)
}

/// Names and incarnations in a fixed order, since the order of the list has no meaning.
fn sorted(entries: &[wire::Peer]) -> Vec<(SmolStr, ids::Incarnation)> {
    let entries = entries.iter();
    let mut names: Vec<_> = entries
        .map(|peer| (peer.name.clone(), peer.incarnation))
        .collect();
    names.sort();
    names
}

fn run(steps: Vec<Step>) -> Result<(), test_runner::TestCaseError> {
    let mut contacts = contacts::Contacts::new(SmolStr::new_static("own"), &[ADDRESS]);
    let mut responder = Responder {
        incarnation: 1,
        entries: vec![peer(1, 1)],
        is_previous_release: false,
    };
    let mut previous_digest = None;
    for step in steps {
        let held_digest = held(&contacts);
        let sent_digest = match step {
            Step::Change(places, incarnation) => {
                responder.entries = places
                    .into_iter()
                    .map(|place| peer(place, incarnation))
                    .collect();
                continue;
            }
            Step::Replace(is_previous_release) => {
                responder.incarnation += 1;
                responder.is_previous_release = is_previous_release;
                continue;
            }
            Step::Send => held_digest,
            Step::Late => previous_digest,
        };
        previous_digest = held_digest;
        let mut answer = responder.answer(sent_digest);
        contacts.restore_entries(&ADDRESS, &mut answer);
        // A late reply may be filled in with the wrong list; the next reply corrects it.
        if sent_digest == held_digest {
            prop_assert_eq!(sorted(&answer.entries), sorted(&responder.entries));
        }
    }
    Ok(())
}

// Entries start, stop and are replaced, also by ones of the previous release, and replies
// arrive late. If a wrong list were filled in, callers would be sent to entries that have
// ended.
#[test]
fn restored_replies_contain_the_full_list() {
    let mut runner = test_runner::TestRunner::new(fixed_seed::cases(1_000));
    let steps = collection::vec(any_step(), 1..60);

    let result = runner.run(&steps, run);

    assert_eq!(result, Ok(()));
}

#[test]
fn list_held_by_the_requester_is_left_out() {
    let entries = vec![peer(1, 1), peer(2, 1)];
    let reversed = vec![peer(2, 1), peer(1, 1)];

    let incarnation = ids::Incarnation(5);

    let first = entry_list::EntryList::new(incarnation, entries.clone(), None);
    let reordered = entry_list::EntryList::new(incarnation, reversed, first.digest);
    let changed =
        entry_list::EntryList::new(incarnation, vec![peer(1, 2), peer(2, 1)], first.digest);
    let successor = entry_list::EntryList::new(ids::Incarnation(6), entries.clone(), first.digest);

    assert_eq!(first.entries, entries);
    assert_eq!(reordered, entry_list::EntryList::default());
    assert_eq!(changed.entries.len(), 2);
    assert_eq!(successor.entries, entries);
    assert_ne!(changed.digest, first.digest);
}
