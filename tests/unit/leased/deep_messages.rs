//! Messages that another process may have nested deeply.

use std::thread;

use bulrushtiller::leased::messages;
use bulrushtiller::wire;
use rstest::rstest;

/// Stack of a thread of the HTTP library, in bytes: the default of the standard library.
const STACK_BYTES: usize = 2 << 20;

/// Returns the bytes of a message with its version, and arrays within arrays under an unknown key.
fn nested(depth: usize, tail: u8) -> Vec<u8> {
    let mut body = vec![0x82, 0xa7];
    body.extend_from_slice(b"version");
    body.push(u8::try_from(wire::VERSION).expect("a small number"));
    body.push(0xa7);
    body.extend_from_slice(b"further");
    body.resize(body.len() + depth, 0x91);
    body.push(tail);
    body
}

/// Guards against a process that ends as it decodes a message: the decoder goes down level by level on
/// the stack of a thread of the HTTP library.
#[rstest]
#[case::shallow(100)]
#[case::at_the_limit(1_023)]
#[case::beyond_it(1_025)]
#[case::very_deep(1_000_000)]
fn deep_message_is_refused_or_decoded_within_the_stack(#[case] depth: usize) {
    let decoding = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let body = nested(depth, 0xc0);
            let known = wire::decode::<messages::Known>(&body).is_ok();
            let order = wire::decode::<messages::Order>(&body).is_ok();
            known || order
        });

    let is_decoded = decoding.expect("a thread").join();

    assert!(matches!(is_decoded, Ok(false)));
}
