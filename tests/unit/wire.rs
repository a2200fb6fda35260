//! Messages between processes, valid and corrupted.

use bulrushtiller::ids;
use bulrushtiller::wire;
use proptest::prelude::*;
use serde::Serialize;
use serde::de;

use crate::fixed_seed;

fn peer() -> wire::Peer {
    wire::Peer {
        role: wire::Role::Runner,
        name: "runner-1".into(),
        incarnation: ids::Incarnation(7),
        zone: "bento".into(),
        rack: "rack-1".into(),
        address: "127.0.0.1:1".into(),
    }
}

fn heartbeat(numbers: [u64; 4], busy: u32, leaving: bool) -> wire::Heartbeat {
    wire::Heartbeat {
        version: wire::VERSION,
        sender: peer(),
        leaving,
        revision: Some(numbers[0]),
        evidence: wire::Evidence {
            log_age_ms: Some(numbers[1]),
            foreign_age_ms: None,
        },
        load: Some(wire::Load {
            busy,
            epoch: numbers[2],
            sequence: numbers[3],
            ..wire::Load::default()
        }),
        slots: 0,
        tickets: 0,
        entries_held: None,
    }
}

fn dispatch(numbers: [u64; 4], payload: String) -> wire::Dispatch {
    wire::Dispatch {
        version: wire::VERSION,
        attempt: ids::Attempt {
            owner: ids::Incarnation(numbers[0]),
            number: numbers[1],
        },
        incarnation: ids::Incarnation(numbers[0]),
        epoch: numbers[1],
        entry: "entry-1".into(),
        team: "escola".into(),
        kind: "fit".into(),
        payload,
        resources: wire::Resources::default(),
        wait_ms: numbers[2],
        limit_ms: numbers[3],
        slack_ms: numbers[3],
        submission: "x".into(),
        index: 0,
    }
}

/// A message with an additional field, as a later release may send.
#[derive(Serialize)]
struct Later<M> {
    #[serde(flatten)]
    message: M,
    later: Vec<Option<&'static str>>,
}

fn rejects_or_round_trips<M: Serialize + de::DeserializeOwned + PartialEq>(bytes: &[u8]) -> bool {
    let Ok(read) = wire::decode::<M>(bytes) else {
        return true;
    };
    let again = wire::encode(&read).expect("a message");
    wire::decode::<M>(&again).is_ok_and(|again| again == read)
}

#[test]
fn unknown_field_is_ignored() {
    let message = heartbeat([1, 2, 3, 4], 5, false);
    let later = Later {
        message: message.clone(),
        later: vec![None, Some("x")],
    };

    let read: wire::Heartbeat =
        wire::decode(&wire::encode(&later).expect("a message")).expect("a message");

    assert_eq!(read, message);
}

/// A heartbeat and its reply as encoded and decoded by the previous release.
mod previous {
    use bulrushtiller::wire;

    #[derive(Debug)]
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Evidence {
        pub log_age_ms: Option<u64>,
        pub foreign_age_ms: Option<u64>,
    }

    #[derive(Debug)]
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct Heartbeat {
        pub version: u32,
        pub sender: wire::Peer,
        pub leaving: bool,
        pub revision: Option<u64>,
        pub evidence: Evidence,
        pub load: Option<wire::Load>,
        #[serde(default)]
        pub slots: u32,
        #[serde(default)]
        pub tickets: u32,
    }

    #[derive(Debug)]
    #[derive(serde::Deserialize, serde::Serialize)]
    pub struct HeartbeatReply {
        pub version: u32,
        pub sender: wire::Peer,
        pub leaving: bool,
        pub revision: Option<u64>,
        pub evidence: Evidence,
        pub entries: Vec<wire::Peer>,
        #[serde(default)]
        pub slots: u32,
        #[serde(default)]
        pub tickets: Option<wire::TicketRange>,
    }
}

/// An idle process omits every optional field.
#[test]
fn previous_release_decodes_messages_with_omitted_fields() {
    let mut message = heartbeat([1, 2, 3, 4], 0, false);
    message.load = None;
    message.evidence = wire::Evidence::default();
    let reply = wire::HeartbeatReply {
        version: wire::VERSION,
        sender: peer(),
        leaving: false,
        revision: None,
        evidence: wire::Evidence::default(),
        entries: vec![peer()],
        entries_digest: Some(7),
        slots: 0,
        tickets: None,
        bad_runners: Vec::new(),
    };

    let message = wire::encode(&message).expect("a message");
    let reply = wire::encode(&reply).expect("a message");
    let message: previous::Heartbeat =
        wire::decode(&message).expect("a message of the previous release");
    let reply: previous::HeartbeatReply =
        wire::decode(&reply).expect("a message of the previous release");

    assert_eq!((message.slots, message.tickets), (0, 0));
    assert!(message.load.is_none() && message.evidence.log_age_ms.is_none());
    assert_eq!(reply.entries, [peer()]);
}

/// The previous release does not cache entry lists, so it always sends the whole list.
#[test]
fn messages_of_the_previous_release_are_decoded() {
    let evidence = || previous::Evidence {
        log_age_ms: None,
        foreign_age_ms: Some(5),
    };
    let message = previous::Heartbeat {
        version: wire::VERSION,
        sender: peer(),
        leaving: false,
        revision: None,
        evidence: evidence(),
        load: None,
        slots: 0,
        tickets: 0,
    };
    let reply = previous::HeartbeatReply {
        version: wire::VERSION,
        sender: peer(),
        leaving: false,
        revision: None,
        evidence: evidence(),
        entries: vec![peer()],
        slots: 0,
        tickets: None,
    };

    let message = wire::encode(&message).expect("a message of the previous release");
    let reply = wire::encode(&reply).expect("a message of the previous release");
    let message: wire::Heartbeat = wire::decode(&message).expect("a message");
    let reply: wire::HeartbeatReply = wire::decode(&reply).expect("a message");

    assert_eq!(message.entries_held, None);
    assert_eq!(message.evidence.foreign_age_ms, Some(5));
    assert_eq!((reply.entries_digest, reply.entries), (None, vec![peer()]));
}

/// While two releases run side by side, a message of the later version may differ in everything
/// but its version field, and must be reported as such rather than as garbage.
#[test]
fn later_version_is_distinguished_from_garbage() {
    let later = wire::encode(&serde_json::json!({"version": 2, "new": true})).expect("a message");

    let of_later = wire::decode::<wire::Heartbeat>(&later);
    let of_garbage = wire::decode::<wire::Heartbeat>(b"garbage");

    assert!(matches!(of_later, Err(wire::WireError::Version(2))));
    assert!(matches!(of_garbage, Err(wire::WireError::Decode(_))));
}

proptest! {
    #![proptest_config(fixed_seed::cases(500))]

    #[test]
    fn heartbeat_round_trips(numbers: [u64; 4], busy: u32, leaving: bool) {
        let message = heartbeat(numbers, busy, leaving);

        let read = wire::decode(&wire::encode(&message).expect("a message"));

        prop_assert_eq!(read.ok(), Some(message));
    }

    #[test]
    fn dispatch_round_trips(numbers: [u64; 4], payload: String) {
        let message = dispatch(numbers, payload);

        let read = wire::decode(&wire::encode(&message).expect("a message"));

        prop_assert_eq!(read.ok(), Some(message));
    }

    /// A corrupted message is rejected, or decodes to a message that round-trips.
    #[test]
    fn corrupted_message_is_rejected_or_round_trips(
        numbers: [u64; 4],
        payload: String,
        at: prop::sample::Index,
        byte: u8,
        cut: prop::sample::Index,
    ) {
        let mut bytes = wire::encode(&dispatch(numbers, payload)).expect("a message");
        let damaged_index = at.index(bytes.len());
        bytes[damaged_index] = byte;
        bytes.truncate(cut.index(bytes.len()) + 1);

        let verdicts = [
            rejects_or_round_trips::<wire::Dispatch>(&bytes),
            rejects_or_round_trips::<wire::DispatchReply>(&bytes),
            rejects_or_round_trips::<wire::Heartbeat>(&bytes),
            rejects_or_round_trips::<wire::HeartbeatReply>(&bytes),
            rejects_or_round_trips::<wire::Fence>(&bytes),
            rejects_or_round_trips::<wire::FenceReply>(&bytes),
            rejects_or_round_trips::<wire::Forward>(&bytes),
            rejects_or_round_trips::<wire::SettingsReply>(&bytes),
        ];

        prop_assert_eq!(verdicts, [true; 8]);
    }

    #[test]
    fn random_bytes_are_rejected_or_round_trip(bytes: Vec<u8>) {
        let verdicts = [
            rejects_or_round_trips::<wire::Dispatch>(&bytes),
            rejects_or_round_trips::<wire::Heartbeat>(&bytes),
            rejects_or_round_trips::<wire::Fence>(&bytes),
            rejects_or_round_trips::<wire::Forward>(&bytes),
            rejects_or_round_trips::<wire::SettingsQuery>(&bytes),
        ];

        prop_assert_eq!(verdicts, [true; 5]);
    }
}
