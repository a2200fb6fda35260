//! Lists of entries left out of answers, against answers that give them always.

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

use crate::fixed;

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

fn reply(life: u64, entries: Vec<wire::Peer>, digest: Option<u64>) -> wire::HeartbeatReply {
    wire::HeartbeatReply {
        version: wire::VERSION,
        sender: peer(0, life),
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

/// The process that answers: its life, the entries it knows, its release.
#[derive(Clone, Debug)]
struct Other {
    life: u64,
    entries: Vec<wire::Peer>,
    is_earlier: bool,
}

impl Other {
    fn answer(&self, held: Option<u64>) -> wire::HeartbeatReply {
        if self.is_earlier {
            return reply(self.life, self.entries.clone(), None);
        }
        let named =
            entry_list::EntryList::new(ids::Incarnation(self.life), self.entries.clone(), held);
        reply(self.life, named.entries, named.digest)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// The list changes: so many entries, of that life, in that order.
    Change(Vec<u64>, u64),
    /// Another process at the address, perhaps of the earlier release.
    Replace(bool),
    /// A heartbeat is asked now and answered now.
    Ask,
    /// One that was asked at the beginning of the step before is answered now.
    Late,
}

fn any_step() -> impl Strategy<Value = Step> {
    let places = collection::vec(1_u64..5, 0..4);
    prop_oneof![
        2 => (places, 1_u64..3).prop_map(|(places, life)| Step::Change(places, life)),
        1 => proptest::bool::ANY.prop_map(Step::Replace),
        6 => proptest::strategy::Just(Step::Ask),
        1 => proptest::strategy::Just(Step::Late),
    ]
}

fn held(contacts: &contacts::Contacts) -> Option<u64> {
    contacts.targets().first().and_then(|one| one.entries_held)
}

/// Their order says nothing.
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
    let mut other = Other {
        life: 1,
        entries: vec![peer(1, 1)],
        is_earlier: false,
    };
    let mut before = None;
    for step in steps {
        let now = held(&contacts);
        let asked_with = match step {
            Step::Change(places, life) => {
                other.entries = places.into_iter().map(|place| peer(place, life)).collect();
                continue;
            }
            Step::Replace(is_earlier) => {
                other.life += 1;
                other.is_earlier = is_earlier;
                continue;
            }
            Step::Ask => now,
            Step::Late => before,
        };
        before = now;
        let mut answer = other.answer(asked_with);
        contacts.restore_entries(&ADDRESS, &mut answer);
        // A late answer may stand for the list asked with; the next one is right again.
        if asked_with == now {
            prop_assert_eq!(sorted(&answer.entries), sorted(&other.entries));
        }
    }
    Ok(())
}

// Entries come, go and are replaced, also by ones of the earlier release, and heartbeats
// cross. If a list were filled in wrongly, callers would be sent to entries that are gone.
#[test]
fn restored_answers_equal_those_that_leave_nothing_out() {
    let mut runner = test_runner::TestRunner::new(fixed::cases(1_000));
    let steps = collection::vec(any_step(), 1..60);

    let result = runner.run(&steps, run);

    assert_eq!(result, Ok(()));
}

#[test]
fn list_that_is_held_is_left_out() {
    let entries = vec![peer(1, 1), peer(2, 1)];
    let reversed = vec![peer(2, 1), peer(1, 1)];

    let life = ids::Incarnation(5);

    let first = entry_list::EntryList::new(life, entries.clone(), None);
    let again = entry_list::EntryList::new(life, reversed, first.digest);
    let changed = entry_list::EntryList::new(life, vec![peer(1, 2), peer(2, 1)], first.digest);
    let successor = entry_list::EntryList::new(ids::Incarnation(6), entries.clone(), first.digest);

    assert_eq!(first.entries, entries);
    assert_eq!(again, entry_list::EntryList::default());
    assert_eq!(changed.entries.len(), 2);
    assert_eq!(successor.entries, entries);
    assert_ne!(changed.digest, first.digest);
}
