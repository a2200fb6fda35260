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
        entries_held: None,
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

/// A heartbeat and its answer as the release before wrote and read them.
mod earlier {
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

/// An idle process leaves out all that can be left out.
#[test]
fn earlier_release_reads_what_is_left_out() {
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
    let message: earlier::Heartbeat = wire::decode(&message).expect("an earlier message");
    let reply: earlier::HeartbeatReply = wire::decode(&reply).expect("an earlier message");

    assert_eq!((message.slots, message.tickets), (0, 0));
    assert!(message.load.is_none() && message.evidence.log_age_ms.is_none());
    assert_eq!(reply.entries, [peer()]);
}

/// A process of the release before says nothing of a list that it holds, and gives all.
#[test]
fn earlier_release_is_read() {
    let evidence = || earlier::Evidence {
        log_age_ms: None,
        foreign_age_ms: Some(5),
    };
    let message = earlier::Heartbeat {
        version: wire::VERSION,
        sender: peer(),
        leaving: false,
        revision: None,
        evidence: evidence(),
        load: None,
        slots: 0,
        tickets: 0,
    };
    let reply = earlier::HeartbeatReply {
        version: wire::VERSION,
        sender: peer(),
        leaving: false,
        revision: None,
        evidence: evidence(),
        entries: vec![peer()],
        slots: 0,
        tickets: None,
    };

    let message = wire::encode(&message).expect("an earlier message");
    let reply = wire::encode(&reply).expect("an earlier message");
    let message: wire::Heartbeat = wire::decode(&message).expect("a message");
    let reply: wire::HeartbeatReply = wire::decode(&reply).expect("a message");

    assert_eq!(message.entries_held, None);
    assert_eq!(message.evidence.foreign_age_ms, Some(5));
    assert_eq!((reply.entries_digest, reply.entries), (None, vec![peer()]));
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
