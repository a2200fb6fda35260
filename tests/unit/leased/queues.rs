//! What operators say of the order among queues.

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

/// Operators number their priorities as they like, and other services have numbers of their
/// own: what counts is how many queues of the same service go first.
#[rstest]
#[case::first("taipa", 20, 0)]
#[case::second("taipa", 30, 1)]
#[case::equal("taipa", 30, 1)]
#[case::third("taipa", 700, 2)]
#[case::of_another_service("formulario", 700, 0)]
fn precedence_counts_the_priorities_before(
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

    let asked = queue("x", service, priority);
    assert_eq!(queues.precedence(&asked), before);
}
