//! Precedence and lookup of queues.

use bulrushtiller::leased::queues;
use rstest::rstest;

use super::fixtures;

fn queue(name: &str, service: &str, priority: u32) -> queues::Queue {
    queues::Queue {
        name: name.into(),
        service: service.into(),
        priority,
        ..fixtures::queue()
    }
}

/// Guards against a precedence taken from the configured numbers. Operators number priorities
/// freely and for each service, so only the distinct priorities that come before count.
#[rstest]
#[case::first("taipa", 20, 0)]
#[case::second("taipa", 30, 1)]
#[case::equal("taipa", 30, 1)]
#[case::third("taipa", 700, 2)]
#[case::of_another_service("formulario", 700, 0)]
fn precedence_is_the_number_of_priorities_before(
    #[case] service: &str,
    #[case] priority: u32,
    #[case] before: u8,
) {
    let all = [
        queue("a", "taipa", 20),
        queue("b", "taipa", 30),
        queue("c", "taipa", 30),
        queue("d", "taipa", 700),
        queue("e", "formulario", 700),
    ];

    let queues = queues::Queues::new(&all, queues::Bounds::default());

    let other = queue("x", service, priority);
    assert_eq!(queues.precedence(&other), before);
}

/// Guards against a lookup that returns a queue with a shorter prefix, or none.
#[rstest]
#[case::longest("/a/b/77", Some(("inner", "77")))]
#[case::shorter("/a/x", Some(("outer", "x")))]
#[case::whole_prefix("/a/b/", Some(("inner", "")))]
#[case::too_short("/a", None)]
#[case::prefix_length_within_a_character("/a/é", Some(("outer", "é")))]
fn path_is_matched_by_its_longest_prefix(
    #[case] path: &str,
    #[case] expected: Option<(&str, &str)>,
) {
    let named = |name: &str, prefix: &str| queues::Queue {
        prefix: prefix.into(),
        ..queue(name, "taipa", 0)
    };
    let all = [
        named("outer", "/a/"),
        named("inner", "/a/b/"),
        named("again", "/a/b/"),
    ];
    let queues = queues::Queues::new(&all, queues::Bounds::default());

    let found = queues.find("school.example", path);

    let found = found.map(|(queue, rest)| (queue.name.as_str(), rest));
    assert_eq!(found, expected);
}
