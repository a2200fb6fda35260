//! Messages between the processes, whole and damaged.

use bulrushtiller::ids;
use bulrushtiller::wire;
use proptest::prelude::*;
use serde::Serialize;
use serde::de;

use crate::fixed;

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

fn heartbeat(figures: [u64; 4], busy: u32, leaving: bool) -> wire::Heartbeat {
    wire::Heartbeat {
        version: wire::VERSION,
        sender: peer(),
        leaving,
        revision: Some(figures[0]),
        evidence: wire::Evidence {
            log_age_ms: Some(figures[1]),
            foreign_age_ms: None,
        },
        load: Some(wire::Load {
            busy,
            epoch: figures[2],
            sequence: figures[3],
            ..wire::Load::default()
        }),
        slots: 0,
        tickets: 0,
    }
}

fn dispatch(figures: [u64; 4], payload: String) -> wire::Dispatch {
    wire::Dispatch {
        version: wire::VERSION,
        attempt: ids::Attempt {
            owner: ids::Incarnation(figures[0]),
            number: figures[1],
        },
        incarnation: ids::Incarnation(figures[0]),
        epoch: figures[1],
        entry: "entry-1".into(),
        team: "escola".into(),
        kind: "fit".into(),
        payload,
        resources: wire::Resources::default(),
        wait_ms: figures[2],
        limit_ms: figures[3],
        slack_ms: figures[3],
        submission: "x".into(),
        index: 0,
    }
}

/// A message with a field of a later release.
#[derive(Serialize)]
struct Later<M> {
    #[serde(flatten)]
    message: M,
    later: Vec<Option<&'static str>>,
}

fn is_stable<M: Serialize + de::DeserializeOwned + PartialEq>(bytes: &[u8]) -> bool {
    let Ok(read) = wire::decode::<M>(bytes) else {
        return true;
    };
    let again = wire::encode(&read).expect("a message");
    wire::decode::<M>(&again).is_ok_and(|again| again == read)
}

#[test]
fn unknown_field_is_passed_over() {
    let message = heartbeat([1, 2, 3, 4], 5, false);
    let later = Later {
        message: message.clone(),
        later: vec![None, Some("x")],
    };

    let read: wire::Heartbeat =
        wire::decode(&wire::encode(&later).expect("a message")).expect("a message");

    assert_eq!(read, message);
}

/// Two releases side by side: the later one's message may be another in all but its
/// version, and is told apart from garbage.
#[test]
fn later_version_is_told_apart_from_garbage() {
    let later = wire::encode(&serde_json::json!({"version": 2, "new": true})).expect("a message");

    let of_later = wire::decode::<wire::Heartbeat>(&later);
    let of_garbage = wire::decode::<wire::Heartbeat>(b"garbage");

    assert!(matches!(of_later, Err(wire::WireError::Version(2))));
    assert!(matches!(of_garbage, Err(wire::WireError::Decode(_))));
}

proptest! {
    #![proptest_config(fixed::cases(500))]

    #[test]
    fn heartbeat_is_read_back(figures: [u64; 4], busy: u32, leaving: bool) {
        let message = heartbeat(figures, busy, leaving);

        let read = wire::decode(&wire::encode(&message).expect("a message"));

        prop_assert_eq!(read.ok(), Some(message));
    }

    #[test]
    fn dispatch_is_read_back(figures: [u64; 4], payload: String) {
        let message = dispatch(figures, payload);

        let read = wire::decode(&wire::encode(&message).expect("a message"));

        prop_assert_eq!(read.ok(), Some(message));
    }

    /// Damage on the way is refused, or gives a message that is one.
    #[test]
    fn damaged_message_is_refused_or_whole(
        figures: [u64; 4],
        payload: String,
        at: prop::sample::Index,
        byte: u8,
        cut: prop::sample::Index,
    ) {
        let mut bytes = wire::encode(&dispatch(figures, payload)).expect("a message");
        let place = at.index(bytes.len());
        bytes[place] = byte;
        bytes.truncate(cut.index(bytes.len()) + 1);

        let verdicts = [
            is_stable::<wire::Dispatch>(&bytes),
            is_stable::<wire::DispatchReply>(&bytes),
            is_stable::<wire::Heartbeat>(&bytes),
            is_stable::<wire::HeartbeatReply>(&bytes),
            is_stable::<wire::Fence>(&bytes),
            is_stable::<wire::FenceReply>(&bytes),
            is_stable::<wire::Forward>(&bytes),
            is_stable::<wire::SettingsReply>(&bytes),
        ];

        prop_assert_eq!(verdicts, [true; 8]);
    }

    #[test]
    fn noise_is_no_message(bytes: Vec<u8>) {
        let verdicts = [
            is_stable::<wire::Dispatch>(&bytes),
            is_stable::<wire::Heartbeat>(&bytes),
            is_stable::<wire::Fence>(&bytes),
            is_stable::<wire::Forward>(&bytes),
            is_stable::<wire::SettingsQuery>(&bytes),
        ];

        prop_assert_eq!(verdicts, [true; 5]);
    }
}
