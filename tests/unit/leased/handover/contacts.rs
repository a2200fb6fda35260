//! Choice of the peer that gets a job.

use bulrushtiller::ids;
use bulrushtiller::leased::entry_list;
use bulrushtiller::leased::handover::contacts;
use bulrushtiller::leased::handover::messages;
use bulrushtiller::leased::ports;
use smol_str::SmolStr;

use crate::leased::fixtures::ENTRY;
use crate::leased::fixtures::OTHER;
use crate::leased::fixtures::START_MS;

fn peer(address: &str, zone: &str, cpu_milli: u32) -> ports::Peer {
    ports::Peer {
        address: address.into(),
        zone: zone.into(),
        cpu_milli,
    }
}

/// Returns the list of an entry with an eighth of a core.
fn list(others: &[ports::Peer]) -> entry_list::EntryList {
    let mut list = entry_list::EntryList::new(peer("me", "bento", 120));
    list.replace(others.to_vec());
    list
}

fn state(clock_ms: u64, lag_ms: u32) -> messages::PeerState {
    messages::PeerState {
        peer: OTHER,
        clock_ms,
        lag_ms,
    }
}

/// Returns the address of the chosen peer, which is known from now on.
fn chosen(
    contacts: &mut contacts::Contacts,
    now_ms: u64,
    list: &entry_list::EntryList,
) -> Option<SmolStr> {
    match contacts.choose(now_ms, list) {
        contacts::Choice::Send(target) => Some(target.address),
        contacts::Choice::Probe(address) => {
            contacts.answered(now_ms, 0, &address, &state(5_000, 0));
            Some(address)
        }
        contacts::Choice::Keep => None,
    }
}

/// Guards against handing over where it can't help: among instances that are alike, or whose
/// processor time is unknown.
#[rstest::rstest]
#[case::alike(120, 120)]
#[case::slightly_larger(120, 239)]
#[case::peer_unknown(120, 0)]
#[case::both_unknown(0, 0)]
#[case::own_unknown(0, 500)]
fn nothing_is_handed_over_to_entries_that_are_not_much_larger(
    #[case] own_milli: u32,
    #[case] peer_milli: u32,
) {
    let mut list = entry_list::EntryList::new(peer("me", "bento", own_milli));
    list.replace(vec![peer("a", "bento", peer_milli)]);

    let choice = contacts::Contacts::new(ENTRY).choose(START_MS, &list);

    assert_eq!(choice, contacts::Choice::Keep);
}

/// Guards against a job that waits for a peer that is gone: none goes to a peer that has not
/// answered within the last second.
#[test]
fn job_goes_only_to_a_peer_that_has_answered_lately() {
    let list = list(&[peer("a", "bento", 500)]);
    let mut contacts = contacts::Contacts::new(ENTRY);

    let first = contacts.choose(START_MS, &list);
    contacts.heartbeat(START_MS, &"a".into(), 0, Vec::new());
    let unanswered = contacts.choose(START_MS + 5, &list);
    contacts.answered(START_MS + 10, 0, &"a".into(), &state(5_000, 3));
    let answered = contacts.choose(START_MS + 110, &list);
    let late = contacts.choose(START_MS + 1_011, &list);

    assert_eq!(first, contacts::Choice::Probe("a".into()));
    assert_eq!(unanswered, contacts::Choice::Keep);
    let target = contacts::Target {
        address: "a".into(),
        incarnation: OTHER,
        alive_at_ms: 5_098,
        lag_ms: 3,
        report_age_ms: 100,
    };
    assert_eq!(answered, contacts::Choice::Send(target));
    assert_eq!(late, contacts::Choice::Probe("a".into()));
}

/// Guards against a small entry that overloads a peer, and against one that changes its peer
/// without need.
#[test]
fn peer_that_becomes_busy_is_left_for_the_next() {
    let list = list(&[peer("a", "bento", 500), peer("b", "caxias", 500)]);
    let mut contacts = contacts::Contacts::new(ENTRY);

    let first = chosen(&mut contacts, START_MS, &list);
    let again = chosen(&mut contacts, START_MS + 20, &list);
    contacts.answered(START_MS + 30, 0, &"a".into(), &state(5_030, 20));
    let second = chosen(&mut contacts, START_MS + 40, &list);
    contacts.answered(START_MS + 50, 0, &"b".into(), &state(5_050, 35));
    let none = chosen(&mut contacts, START_MS + 60, &list);

    assert_eq!(first.as_deref(), Some("a"), "own zone first");
    assert_eq!(again, first);
    assert_eq!(second.as_deref(), Some("b"));
    assert_eq!(none, None);
}

/// Guards against a silent peer that costs a call for each job.
#[test]
fn pause_after_declines_doubles_up_to_its_limit() {
    let list = list(&[peer("a", "bento", 500)]);
    let mut contacts = contacts::Contacts::new(ENTRY);
    let mut pauses = Vec::new();
    let mut now_ms = START_MS;

    for _ in 0..7 {
        contacts.back_off(now_ms, &"a".into());
        let later = now_ms..now_ms + 10_000;
        let open_ms = later
            .into_iter()
            .find(|at_ms| contacts.clone().choose(*at_ms, &list) != contacts::Choice::Keep);
        pauses.push(open_ms.expect("the pause ends") - now_ms);
        now_ms += 10_000;
    }

    assert_eq!(pauses, [200, 400, 800, 1_600, 3_200, 5_000, 5_000]);
}

/// Guards against runs that outlive their origin because it thinks the peer's clock to be further
/// than it is, and against jobs that are withdrawn because an answer was read late.
#[test]
fn estimate_of_the_clock_keeps_the_greatest_lower_bound() {
    let list = list(&[peer("a", "bento", 500)]);
    let mut contacts = contacts::Contacts::new(ENTRY);
    contacts.answered(START_MS, 0, &"a".into(), &state(5_000, 0));

    // The peer wrote this answer at 5,050 on its clock; it was read 150 ms later.
    contacts.answered(START_MS + 200, 0, &"a".into(), &state(5_050, 0));
    let heartbeat = contacts.heartbeat(START_MS + 200, &"a".into(), 0, Vec::new());
    let is_other = contacts.answered(
        START_MS + 210,
        0,
        &"a".into(),
        &messages::PeerState {
            peer: ids::Incarnation(3),
            ..state(1_000, 0)
        },
    );

    assert_eq!(heartbeat.alive_at_ms, Some(5_196));
    assert!(is_other);
    let choice = contacts.choose(START_MS + 210, &list);
    assert!(matches!(choice, contacts::Choice::Send(target) if target.alive_at_ms == 1_000));
}

/// Guards against a second job that is lost at a peer that has just lost one.
#[test]
fn peer_that_lost_a_call_has_to_answer_a_signal_first() {
    let list = list(&[peer("a", "bento", 500)]);
    let mut contacts = contacts::Contacts::new(ENTRY);
    contacts.answered(START_MS, 0, &"a".into(), &state(5_000, 0));

    contacts.call_lost(START_MS + 10, &"a".into());

    let choice = contacts.choose(START_MS + 210, &list);
    assert_eq!(choice, contacts::Choice::Probe("a".into()));
}
